import { z } from 'zod'

const name = z
  .string()
  .regex(/^[a-z][a-z0-9-]{0,62}$/, 'use lower-case letters, digits and hyphens')
const digest = z.string().regex(/^[0-9a-f]{64}$/, 'use the SHA-256 of the key in hexadecimal')
const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'use IPv4:port')

/** A pool of hosts. */
export const poolSchema = z.strictObject({
  name,
  /** Whether the pool is a spare pool, which lends its hosts to other pools. */
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

/** A service and the availability that it requires. */
export const serviceSchema = z.strictObject({
  name,
  pool: name,
  /** Maximum number of requests that one runner serves at the same time. */
  slots: z.int().min(1).max(1024).default(8),
  /** Maximum number of connections that one runner accepts. */
  connections: z.int().min(1).max(65_536).default(64),
  availability: z.strictObject({
    /** Fraction of the service's runners that must be serving at any time. */
    minServing: z.number().gt(0).max(1),
    /** Number of zones that may fail at the same time without breaking `minServing`. */
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
  /** Maximum number of requests and tasks that run at the same time in the whole fleet. */
  limit: z.int().min(0),
})

/** A key of a team, stored as a digest. */
export const keySchema = z.strictObject({ id: name, team: name, digest })

/** An operator's credential, stored as a digest. */
export const operatorSchema = z.strictObject({ name, digest })

/** A queue, which accepts work from one team or from all teams. */
export const queueSchema = z.strictObject({
  name,
  /** The only team whose work is accepted, or `open` to accept work from all teams. */
  team: z.union([z.literal('open'), name]),
  /**
   * Team that work without a key is counted against. Allowed on open queues only; when it is
   * absent, all work needs a key.
   */
  guestTeam: name.optional(),
  /** Service that handles the requests of the queue. */
  service: name.optional(),
  /** Pool whose workers run the jobs of the queue. */
  pool: name.optional(),
})

/** Maintenance settings. */
export const maintenanceSchema = z.strictObject({
  /** Every host is maintained once per period of this many days. */
  periodDays: z.number().gt(0).default(42),
})

/** The document that describes one environment. */
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

/** A pool of hosts, as the environment document defines it. */
export type PoolDefinition = z.infer<typeof poolSchema>
/** A runner of a service, as the environment document defines it. */
export type RunnerDefinition = z.infer<typeof runnerSchema>
/** A service with its runners and the availability that it requires. */
export type ServiceDefinition = z.infer<typeof serviceSchema>
/** A team with its share and upper limit, as the environment document defines it. */
export type TeamDefinition = z.infer<typeof teamSchema>
/** A key of a team; it contains the digest of the key, never the key itself. */
export type KeyDefinition = z.infer<typeof keySchema>
/** An operator with the digest of the operator's credential. */
export type OperatorDefinition = z.infer<typeof operatorSchema>
/** A queue with the team, service and pool that it belongs to. */
export type QueueDefinition = z.infer<typeof queueSchema>
/** The document that describes one environment, with all defaults filled in. */
export type EnvironmentDocument = z.infer<typeof documentSchema>
