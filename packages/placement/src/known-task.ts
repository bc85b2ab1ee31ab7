import type { TaskRow } from '@bulrushbridge/host'
import { taskLeaseMs } from './task-starter.js'

/** Time after the end of a lease by which the worker has stopped the task, in milliseconds. */
const lapseMarginMs = 2_000

/** A task in the memory of the holder. */
export interface KnownTask {
  row: TaskRow
  /** When the worker stops it without a renewal. */
  leaseUntil: number
  /** False while the worker is known not to have started it. */
  mayRun: boolean
  /** How long it has run by the last report, in milliseconds. */
  ranMs?: number
  /** True once the worker saved nothing when it was asked to; such a task runs to its end. */
  hasNoCheckpoint?: boolean
  /** What the worker saved before the task was stopped. */
  checkpoint?: unknown
}

/** The lease ends at the latest so long after the worker's report that it is based on. */
export function extendLease(task: KnownTask, reportedAt: number): void {
  task.leaseUntil = Math.max(task.leaseUntil, reportedAt + taskLeaseMs)
}

/**
 * Whether the task of an unreachable worker has ended. The worker refuses a start that it reads
 * late, so `leaseUntil` bounds a task whose start was not answered as well.
 */
export function hasLapsed({ leaseUntil }: KnownTask, now: number): boolean {
  return now >= leaseUntil + lapseMarginMs
}
