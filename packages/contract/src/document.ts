import { z } from 'zod'

const name = z
  .string()
  .regex(/^[a-z][a-z0-9-]{0,62}$/, 'use lower-case letters, digits and hyphens')
const digest = z.string().regex(/^[0-9a-f]{64}$/, 'use the SHA-256 of the key in hexadecimal')
const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'use IPv4:port')

/** A pool of hosts. */
export const poolSchema = z.strictObject({
  name,
  /** True for the pool that lends its hosts to others. */
  spare: z.boolean().default(false),
  /** Racks whose hosts without a runner belong to the pool. */
  racks: z.array(name).optional(),
})

/** One runner of a service. */
export const runnerSchema = z.strictObject({
  id: name,
  host: name,
  zone: name,
  address,
})

/** A service and the availability it is owed. */
export const serviceSchema = z.strictObject({
  name,
  pool: name,
  /** Requests that one runner serves at the same time. */
  slots: z.int().min(1).max(1024).default(8),
  /** Connections that one runner accepts. */
  connections: z.int().min(1).max(65_536).default(64),
  availability: z.strictObject({
    /** Runners which must be serving at every moment, as a fraction of all. */
    minServing: z.number().gt(0).max(1),
    /** Zones whose loss the service must survive. */
    zoneFailures: z.int().min(0).max(1).default(1),
  }),
  runners: z.array(runnerSchema),
})

/** A team with its share of a full fleet and its upper limit. */
export const teamSchema = z.strictObject({
  name,
  organisation: name,
  /** Weight against the other teams when the fleet is full. */
  share: z.number().gt(0),
  /** Most requests and tasks that may run at the same time over the whole fleet. */
  limit: z.int().min(0),
})

/** A key of a team, stored as a digest. */
export const keySchema = z.strictObject({ id: name, team: name, digest })

/** An operator's credential, stored as a digest. */
export const operatorSchema = z.strictObject({ name, digest })

/** A queue, which takes work of one team or of all. */
export const queueSchema = z.strictObject({
  name,
  /** The only team whose work is taken, or `open` to all teams. */
  team: z.union([z.literal('open'), name]),
  /** On an open queue: the team that work without a key is charged to; without it a key is needed. */
  guestTeam: name.optional(),
  /** Service that answers its requests. */
  service: name.optional(),
  /** Pool whose workers run its jobs. */
  pool: name.optional(),
})

/** Rules of maintenance. */
export const maintenanceSchema = z.strictObject({
  /** Every host is maintained once in this many days. */
  periodDays: z.number().gt(0).default(42),
})

/** The document of one environment. */
export const documentSchema = z.strictObject({
  environment: name,
  zones: z.array(name).min(1),
  pools: z.array(poolSchema),
  services: z.array(serviceSchema),
  teams: z.array(teamSchema),
  keys: z.array(keySchema),
  operators: z.array(operatorSchema).min(1, 'name at least one operator'),
  queues: z.array(queueSchema),
  maintenance: maintenanceSchema.prefault({}),
})

export type Pool = z.infer<typeof poolSchema>
export type Runner = z.infer<typeof runnerSchema>
export type Service = z.infer<typeof serviceSchema>
export type Team = z.infer<typeof teamSchema>
export type Key = z.infer<typeof keySchema>
export type Operator = z.infer<typeof operatorSchema>
export type Queue = z.infer<typeof queueSchema>
export type EnvironmentDocument = z.infer<typeof documentSchema>
