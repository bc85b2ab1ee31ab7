import { sweepRecords } from '@bulrushbridge/idempotency'
import type { HeldLease } from '@bulrushbridge/store'
import { createRetention } from './retention.js'
import type { ControlContext } from './control-context.js'
import type { DutyTerm } from './duty-task.js'

/** Records examined in one round. */
const rowsPerRound = 500

const hourMs = 3_600_000

/** Pause between two rounds, in milliseconds; it makes five scans and a few deletions in 10 s. */
export const recordsIntervalMs = 10_000

/**
 * Begins a term of the duty `records`: removes idempotency records that have expired, and
 * ended jobs, decision records and heartbeats that nobody needs any more.
 *
 * @example
 * createDutyTask({ ...opts, duty: 'records', begin: held => beginRecords(context, held) })
 */
export function beginRecords(ctx: ControlContext, held: () => HeldLease | undefined): DutyTerm {
  let after: string | undefined
  const retention = createRetention({
    table: ctx.table,
    clock: ctx.clock,
    wallClock: Date.now,
    retentionMs: ctx.cfg.retention * hourMs,
    check: () => held()?.check,
    members: () => new Set(Object.keys(ctx.follower.committed().members)),
  })
  return {
    round: async () => {
      const check = held()?.check
      if (check === undefined) return
      const position = after === undefined ? {} : { after }
      const swept = await sweepRecords({
        table: ctx.table,
        check,
        limit: rowsPerRound,
        ...position,
      })
      after = swept.next
      const removed = swept.removed + (await retention.round())
      if (removed > 0) ctx.log.info('records removed', { count: removed })
    },
    close: () => undefined,
  }
}
