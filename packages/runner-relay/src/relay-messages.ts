import {
  orderRefusals,
  runEnds,
  type CallResult,
  type PollAnswer,
  type RunnerOrderAnswer,
} from '@bulrushbridge/scheduler'
import { z } from 'zod'

/** Path of the request whose body carries calls and whose response carries their results. */
export const relayPath = '/v1/relay'

/** Response header that names the process behind the relay, to detect a reused address. */
export const instanceHeader = 'relay-instance'

/** Reason in the result of a call that a relay has not made, because it is at one of its bounds. */
export const relayFullReason = 'the relay is at a bound'

/** Longest address and id of a runner, in characters; a relay keeps them. */
const maxNameLength = 256

const target = {
  /** Number of the call on its connection, from 1. */
  id: z.int(),
  /** `ip:port` of the runner. */
  address: z.string().max(maxNameLength),
  runnerId: z.string().max(maxNameLength),
}
const run = { task: z.string(), run: z.int(), fence: z.number() }

/** A call that a relay makes to a runner, by its kind; the fields are those of `RunnerApi`. */
export const relayedCallSchema = z.discriminatedUnion('kind', [
  z.object({
    ...target,
    kind: z.literal('start'),
    order: z.object({
      ...run,
      payload: z.string(),
      checkpoint: z.string(),
      ticket: z.string().optional(),
      leaseDeadline: z.number(),
    }),
  }),
  z.object({ ...target, kind: z.literal('stop'), order: z.object(run) }),
  z.object({
    ...target,
    kind: z.literal('pace'),
    order: z.object({ ...run, percent: z.number() }),
  }),
  z.object({
    ...target,
    kind: z.literal('poll'),
    order: z.object({
      fence: z.number(),
      acknowledged: z.int(),
      leaseDeadline: z.number().optional(),
      waitMs: z.number(),
    }),
  }),
])

/** A call to a runner, as {@link relayedCallSchema} parses it. */
export type RelayedCall = z.infer<typeof relayedCallSchema>

const failureSchemas = [
  z.object({ outcome: z.literal('not-done'), reason: z.string() }),
  z.object({ outcome: z.literal('unknown'), reason: z.string() }),
] as const

/** Result of a start, stop or pace order. */
export const orderResultSchema = z.discriminatedUnion('outcome', [
  z.object({
    outcome: z.literal('done'),
    value: z.object({
      refusal: z.enum(orderRefusals).optional(),
      clockMs: z.number().optional(),
    }),
  }),
  ...failureSchemas,
])

const reportSchema = z.object({
  clockMs: z.number(),
  startedAt: z.number().optional(),
  running: z.array(
    z.object({
      task: z.string(),
      run: z.number(),
      checkpoint: z.string(),
      percent: z.number(),
      usage: z.number().optional(),
    }),
  ),
  ended: z.array(
    z.object({
      number: z.number(),
      task: z.string(),
      run: z.number(),
      how: z.enum(runEnds),
      checkpoint: z.string(),
    }),
  ),
  // Absent in the results of relays of an older build.
  hasMoreEnds: z.boolean().default(false),
})

/** Result of a poll. */
export const pollResultSchema = z.discriminatedUnion('outcome', [
  z.object({
    outcome: z.literal('done'),
    value: z.discriminatedUnion('isFenced', [
      z.object({ isFenced: z.literal(true) }),
      z.object({ isFenced: z.literal(false), report: reportSchema }),
    ]),
  }),
  ...failureSchemas,
])

/** A line from a relay: the result of a call, or (with id 0) a sign that the relay is alive. */
export const relayedResultSchema = z.object({ id: z.int(), result: z.unknown().optional() })

/** Id of the lines that only show that the relay is alive. */
export const aliveId = 0

/** Converts a parsed order result; fields that JSON leaves out become undefined. */
export function toOrderResult(
  parsed: z.infer<typeof orderResultSchema>,
): CallResult<RunnerOrderAnswer> {
  if (parsed.outcome !== 'done') return parsed
  const { refusal, clockMs } = parsed.value
  return { outcome: 'done', value: { refusal, clockMs } }
}

/** Converts a parsed poll result; fields that JSON leaves out become undefined. */
export function toPollResult(parsed: z.infer<typeof pollResultSchema>): CallResult<PollAnswer> {
  if (parsed.outcome !== 'done') return parsed
  if (parsed.value.isFenced) return { outcome: 'done', value: { isFenced: true } }
  const { clockMs, startedAt, running, ended, hasMoreEnds } = parsed.value.report
  const runs = running.map(({ task, run, checkpoint, percent, usage }) => ({
    task,
    run,
    checkpoint,
    percent,
    usage,
  }))
  const report = { clockMs, startedAt, running: runs, ended, hasMoreEnds }
  return { outcome: 'done', value: { isFenced: false, report } }
}
