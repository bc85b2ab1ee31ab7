import { sweepRecords } from '@bulrushbridge/idempotency'
import type { HeldLease } from '@bulrushbridge/store'
import { createRetention } from './retention.js'
import type { ControlContext } from './control-context.js'
import type { DutyTerm } from './duty-task.js'

/** Most idempotency records that one round examines. */
const maxRecordsPerRound = 500

const msPerHour = 3_600_000

/**
 * Pause between two rounds, in milliseconds. At this interval the duty makes five scans and a few
 * deletions in 10 s.
 */
export const recordsRoundIntervalMs = 10_000

/**
 * Begins a term of the duty `records`, which removes expired idempotency records, ended jobs and
 * decision records after their retention time, and heartbeats of entry hosts that have ended.
 *
 * @example
 * createDutyTask({ ...opts, duty: 'records', beginTerm: held => beginRecordsTerm(ctx, held) })
 */
export function beginRecordsTerm(ctx: ControlContext, held: () => HeldLease | undefined): DutyTerm {
  let after: string | undefined
  const retention = createRetention({
    table: ctx.table,
    clock: ctx.clock,
    wallClock: Date.now,
    retentionMs: ctx.cfg.retention * msPerHour,
    dutyCheck: () => held()?.check,
    memberIds: () => new Set(Object.keys(ctx.follower.committed().members)),
  })
  return {
    runRound: async () => {
      const check = held()?.check
      if (check === undefined) return
      const startOption = after === undefined ? {} : { after }
      const result = await sweepRecords({
        table: ctx.table,
        check,
        limit: maxRecordsPerRound,
        ...startOption,
      })
      after = result.next
      const removedCount = result.removed + (await retention.runRound())
      if (removedCount > 0) ctx.log.info('expired records removed', { count: removedCount })
    },
    close: () => undefined,
  }
}
