import { z } from 'zod'
import { keySchema } from './document.js'

/** Sections of the document whose entries have a name or an id and can be changed one at a time. */
export const documentSections = [
  'pools',
  'services',
  'teams',
  'keys',
  'operators',
  'queues',
] as const

/** One of {@link documentSections}. */
export type DocumentSection = (typeof documentSections)[number]

/** An entry host that has registered itself in the configuration. */
export const memberSchema = z.object({
  id: z.string(),
  zone: z.string(),
  /** `IP:port` where its peer service listens. */
  peerAddress: z.string(),
  /** Identifies one run of the process; each start has another value. */
  incarnation: z.string(),
})
/** A registered entry host, as {@link memberSchema} parses it. */
export type Member = z.infer<typeof memberSchema>

const entryChangeSchema = z.discriminatedUnion('op', [
  z.object({ op: z.literal('set'), section: z.enum(documentSections), value: z.unknown() }),
  z.object({ op: z.literal('remove'), section: z.enum(documentSections), name: z.string() }),
  z.object({ op: z.literal('zones'), zones: z.array(z.string()) }),
  z.object({ op: z.literal('maintenance'), value: z.unknown() }),
  z.object({ op: z.literal('environment'), value: z.string() }),
])

/** One difference between a promoted document and the configuration before the promotion. */
export type EntryChange = z.infer<typeof entryChangeSchema>

/** A change of the configuration. Each committed version contains one. */
export const changeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('promote'), digest: z.string(), entries: z.array(entryChangeSchema) }),
  z.object({ kind: z.literal('zone-out'), zone: z.string() }),
  z.object({ kind: z.literal('zone-back'), zone: z.string() }),
  z.object({ kind: z.literal('key-grant'), key: keySchema }),
  z.object({ kind: z.literal('key-withdraw'), id: z.string() }),
  z.object({ kind: z.literal('member-join'), member: memberSchema }),
  z.object({ kind: z.literal('member-leave'), id: z.string(), incarnation: z.string() }),
])
/** A change of the configuration, as {@link changeSchema} parses it. */
export type Change = z.infer<typeof changeSchema>

/** A committed change, stored as one row of the table `changes`. */
export const changeRowSchema = z.object({
  version: z.int(),
  /** Wall-clock time of the commit. It is shown to operators and never used for decisions. */
  at: z.string(),
  by: z.string(),
  change: changeSchema,
  /** Ids of the provisional restrictions that this row commits or revokes. */
  settles: z.array(z.string()).optional(),
})
/** A committed change with its version, as {@link changeRowSchema} parses it. */
export type ChangeRow = z.infer<typeof changeRowSchema>
