import type { TaskRow } from '@bulrushbridge/host'
import { taskLeaseMs } from './task-starter.js'

/** Time after the end of a lease within which its worker stops the task, in milliseconds. */
const leaseLapseMarginMs = 2_000

/** In-memory state that the holder of a placement duty keeps of a task. */
export interface TrackedTask {
  row: TaskRow
  /** When the lease of the task ends at the latest, on the clock of the holder. */
  leaseEndsAt: number
  /** False while the worker is known not to have started the task. */
  canBeRunning: boolean
  /** True once the worker has refused the start, after a restart or because the start was late. */
  isStartRefused?: boolean
  /** True once the worker was ordered or announced to leave; its end then counts as no loss. */
  isWorkerWithdrawn?: boolean
  /** Run time in the last report of the worker, in milliseconds. */
  reportedRunMs?: number
  /** True once a checkpoint call saved nothing; no further reclaim stops such a task. */
  isNotCheckpointable?: boolean
  /** Progress that the worker saved before the task was stopped. */
  checkpoint?: unknown
}

/** Extends the end of the lease to the longest lease that a report of this time allows. */
export function extendLease(task: TrackedTask, reportedAt: number): void {
  task.leaseEndsAt = Math.max(task.leaseEndsAt, reportedAt + taskLeaseMs)
}

/**
 * Whether the task of an unreachable worker has certainly ended. A worker refuses a start call that
 * it reads too late, so `leaseEndsAt` also bounds a task whose start call got no answer.
 */
export function hasLeaseLapsed({ leaseEndsAt }: TrackedTask, now: number): boolean {
  return now >= leaseEndsAt + leaseLapseMarginMs
}
