import type { JobQueue } from './configuration.js'
import type { StepExecution } from './job-execution.js'
import type { RunnerEntry } from './runner.js'

/** Whether a runner has the label that the tasks of a step need. */
export function hasNeededLabel(
  { definition: { needs } }: StepExecution,
  { labels }: { labels: readonly string[] },
): boolean {
  return needs === undefined || labels.includes(needs)
}

/**
 * Whether the tasks of a step may run on a runner, whatever it has room for: the runner is in the
 * pool of the step's queue and has the label that the step needs.
 *
 * @example
 * if (!isAllowedOn(task.step, queue, entry)) giveUp(task)
 */
export function isAllowedOn(
  step: StepExecution,
  queue: JobQueue,
  entry: Pick<RunnerEntry, 'pool' | 'labels'>,
): boolean {
  return entry.pool === queue.pool && hasNeededLabel(step, entry)
}
