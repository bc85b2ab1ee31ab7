import type { Admission } from '@bulrushbridge/job-front'
import { loadTable } from '@bulrushbridge/scheduler'
import {
  followTable,
  type FollowableTableService,
  type TableFollower,
  type TableFollowerOptions,
  type WaitingClock,
} from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'

/**
 * Pauses between two calls that wait for changes of the load, in milliseconds, while work waits and while none
 * does. The row changes every 250 ms while work waits, so with a pause of 350 a host makes two calls a second,
 * and 300 hosts make a tenth of the reads that the store takes. Otherwise these hosts make 75 calls a second.
 */
const pauseMs = { waiting: 350, idle: 1_000 }

/**
 * Longest time for which a call waits for a change, in milliseconds. With a short wait and a long pause instead,
 * hosts accepted jobs for 3 s of a burst before they had a view.
 */
const waitMs = 3_000

/**
 * Follows the load of all queues, by which an admission rejects jobs. The first view after a time in which
 * nothing waited arrives up to 1 s late; until then nothing is rejected.
 *
 * @example
 * const follower = followLoad({ store, admission, log })
 */
export function followLoad(opts: {
  store: FollowableTableService
  admission: Pick<Admission, 'applyRows' | 'hasWaitedRecently'>
  log: Logger
  clock?: WaitingClock
}): TableFollower {
  const { store, admission, log, clock } = opts
  const applyRows: TableFollowerOptions['onChanges'] = (rows, serviceTimeMs) => {
    admission.applyRows(rows, serviceTimeMs)
  }
  return followTable({
    store,
    table: loadTable,
    parts: [''],
    pauseMs: () => (admission.hasWaitedRecently() ? pauseMs.waiting : pauseMs.idle),
    waitMs,
    onSnapshot: applyRows,
    onChanges: applyRows,
    onRejected: ({ key }, reason) => {
      log.error('row could not be applied', { table: loadTable, key, reason })
    },
    onState: (state, detail) => {
      log.warn(`change feed ${state}`, { table: loadTable, detail })
    },
    ...(clock === undefined ? {} : { clock }),
  })
}
