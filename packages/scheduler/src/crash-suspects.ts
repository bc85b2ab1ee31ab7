import type { Task } from './task.js'

/**
 * Number of crashes of runners under a task after which its job fails. Before the last one the task
 * ran alone on its runner but for lasting tasks, so no other task is likely to be the cause.
 */
export const maxCrashes = 4

/** Most suspicion on one runner, so that a crash puts few tasks under suspicion again. */
export const maxSuspicion = 4

/** A task that has run for this long is not taken for the cause of a crash, in milliseconds. */
export const trustedRunMs = 10_000

/**
 * Suspicion that a task with this many crashes brings to its runner. Several tasks with one crash
 * may share a runner; a task with more is the only suspect on its runner.
 *
 * @example
 * const hasRoom = runner.suspicion + suspicionOf(task.crashes) <= maxSuspicion
 */
export function suspicionOf(crashes: number): number {
  return crashes <= 1 ? crashes : maxSuspicion
}

/**
 * Whether crashes of runners count against a task. A lasting task is on its runner at most crashes, and
 * would keep a runner from other suspects for as long as it runs; the tasks of a gang can't be separated.
 *
 * @example
 * if (!canBeSuspect(task)) return
 */
export function canBeSuspect({ step }: Task): boolean {
  return step.definition.isLasting !== true && step.definition.isGang !== true
}

/**
 * Whether a task runs only on a runner without other tasks that can be suspects: one more crash ends
 * its job.
 *
 * @example
 * if (mustRunAlone(task) && runner.finiteTasks > 0) return false
 */
export function mustRunAlone({ crashes }: Task): boolean {
  return crashes >= maxCrashes - 1
}
