import type { Task } from './job-execution.js'

/**
 * Number of crashes of runners under a task after which its job fails. Before the last one the task
 * ran alone on its runner, so no other task can be the cause.
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
 * Whether a task runs only on a runner that runs nothing else: one more crash ends its job. The tasks
 * of a gang need each other, and a lasting task would keep its runner from all others.
 *
 * @example
 * if (mustRunAlone(task) && runner.taskCount > 0) return false
 */
export function mustRunAlone({ crashes, step }: Task): boolean {
  const { isGang, isLasting } = step.definition
  return crashes >= maxCrashes - 1 && isGang !== true && isLasting !== true
}
