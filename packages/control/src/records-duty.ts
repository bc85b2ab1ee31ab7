import { sweep } from '@bulrushbridge/idempotency'
import type { HeldDuty } from '@bulrushbridge/store'
import type { ControlContext } from './control-context.js'
import type { DutyTerm } from './duty-task.js'

/** Records examined in one round. */
const rowsPerRound = 500

/** Pause between two rounds, in milliseconds; it makes one scan and a few deletions in 10 s. */
export const recordsIntervalMs = 10_000

/**
 * Begins a term of the duty `records`: removes idempotency records that have expired.
 *
 * @example
 * createDutyTask({ ...opts, duty: 'records', begin: held => beginRecords(context, held) })
 */
export function beginRecords(ctx: ControlContext, held: () => HeldDuty | undefined): DutyTerm {
  let after: string | undefined
  return {
    round: async () => {
      const check = held()?.check
      if (check === undefined) return
      const position = after === undefined ? {} : { after }
      const swept = await sweep({ table: ctx.table, check, limit: rowsPerRound, ...position })
      after = swept.next
      if (swept.removed > 0) ctx.log.info('records removed', { count: swept.removed })
    },
    close: () => undefined,
  }
}
