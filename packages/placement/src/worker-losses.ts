import type { WorkerRow } from '@bulrushbridge/host'
import type { StoredJob } from '@bulrushbridge/jobs'
import type { TrackedTask } from './tracked-task.js'

/** Number of workers that are lost without notice under a job before the job fails. */
export const maxWorkerLosses = 4

/** A job that has run for this long is not taken for the cause of a loss, in milliseconds. */
export const trustedRunMs = 10_000

/** Run of a task that counts for or against its job. */
export interface TaskRun {
  /** Run time in the last report of the worker, in milliseconds. */
  runMs?: number
  /** Whether the worker was lost without notice while it may have run the task. */
  isWorkerLost?: boolean
}

/**
 * Number of losses of a job after a run of its task. A long run clears the job of earlier losses.
 *
 * @example
 * const workerLosses = countWorkerLosses(job, { runMs: 40, isWorkerLost: true })
 */
export function countWorkerLosses(
  { workerLosses = 0 }: Pick<StoredJob, 'workerLosses'>,
  { runMs = 0, isWorkerLost = false }: TaskRun,
): number {
  if (runMs >= trustedRunMs) return 0
  return workerLosses + (isWorkerLost ? 1 : 0)
}

/** Whether the job of a running task has earlier losses that its run time clears. */
export function hasLossesToClear({ row, reportedRunMs = 0 }: TrackedTask): boolean {
  return (row.workerLosses ?? 0) > 0 && reportedRunMs >= trustedRunMs
}

/** What is known of workers that end by an order or after notice. */
export interface WorkerNotices {
  /** Rows of the pool's workers; a worker that is ordered to drain has none. */
  workers: readonly WorkerRow[]
  leaving: ReadonlySet<string>
  /** Workers that the host list no longer contains. */
  unlisted: ReadonlySet<string>
  zonesOut: ReadonlySet<string>
}

/**
 * Marks the tasks whose workers were ordered or announced to leave. The mark stays, because a worker
 * that has left is no longer shown as leaving.
 */
export function markWithdrawnWorkers(tasks: Iterable<TrackedTask>, notices: WorkerNotices): void {
  const { leaving, unlisted, zonesOut } = notices
  const serving = new Set(notices.workers.map(({ id }) => id))
  for (const task of tasks) {
    const { worker, zone } = task.row
    // The row of a worker that vanished from the host list is deleted too, without any notice.
    const isOrderedOut = !serving.has(worker) && !unlisted.has(worker)
    if (leaving.has(worker) || zonesOut.has(zone) || isOrderedOut) task.isWorkerWithdrawn = true
  }
}
