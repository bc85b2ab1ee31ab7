import { z } from 'zod'
import { keySchema } from './document.js'

/** Sections of the document whose entries have a name and change one by one. */
export const sections = ['pools', 'services', 'teams', 'keys', 'operators', 'queues'] as const

/** One of {@link sections}. */
export type Section = (typeof sections)[number]

/** A registered entry host. */
export const memberSchema = z.object({
  id: z.string(),
  zone: z.string(),
  /** `IP:port` of its peer service. */
  peerAddress: z.string(),
  /** Differs for each start of the process. */
  incarnation: z.string(),
})
export type Member = z.infer<typeof memberSchema>

const entryChange = z.discriminatedUnion('op', [
  z.object({ op: z.literal('set'), section: z.enum(sections), value: z.unknown() }),
  z.object({ op: z.literal('remove'), section: z.enum(sections), name: z.string() }),
  z.object({ op: z.literal('zones'), zones: z.array(z.string()) }),
  z.object({ op: z.literal('maintenance'), value: z.unknown() }),
  z.object({ op: z.literal('environment'), value: z.string() }),
])

/** One entry of a promoted document that differs from the one before. */
export type EntryChange = z.infer<typeof entryChange>

/** What a committed version changes. */
export const changeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('promote'), digest: z.string(), entries: z.array(entryChange) }),
  z.object({ kind: z.literal('zone-out'), zone: z.string() }),
  z.object({ kind: z.literal('zone-back'), zone: z.string() }),
  z.object({ kind: z.literal('key-grant'), key: keySchema }),
  z.object({ kind: z.literal('key-withdraw'), id: z.string() }),
  z.object({ kind: z.literal('member-join'), member: memberSchema }),
  z.object({ kind: z.literal('member-leave'), id: z.string(), incarnation: z.string() }),
])
export type Change = z.infer<typeof changeSchema>

/** A committed change: one row of the table `changes`. */
export const changeRowSchema = z.object({
  version: z.int(),
  /** Wall-clock time of the commit, for people only. */
  at: z.string(),
  by: z.string(),
  change: changeSchema,
  /** Ids of the provisional restrictions that this row commits or revokes. */
  settles: z.array(z.string()).optional(),
})
export type ChangeRow = z.infer<typeof changeRowSchema>
