import type { Job, JobState } from '@bulrushbridge/jobs'
import { assessJobFailure } from './worker-failure-tracker.js'

/**
 * How a task ended.
 *
 * - `finished`, `failed`: the worker said so.
 * - `never-started`: the worker has fenced the id, or was never called.
 * - `stopped`: it ran and was stopped, or its lease has lapsed, before it was done.
 */
export type TaskEnd = 'finished' | 'failed' | 'never-started' | 'stopped'

/** What becomes of a job after its task has ended. */
export interface JobAfterTask {
  nextState: JobState
  reason?: string
  changes?: Pick<Job, 'failedRacks' | 'checkpoint'>
}

/**
 * Decides what becomes of a job. A non-idempotent job goes back to the queue only when its task
 * never started.
 *
 * @example
 * const { to, reason, changes } = jobAfterTask(row.value, 'stopped', { rack: 'r1' })
 */
export function jobAfterTask(
  job: Job,
  end: TaskEnd,
  task: { rack: string; checkpoint?: unknown },
): JobAfterTask {
  if (end === 'finished') return { nextState: 'finished' }
  if (job.state === 'cancelling') return { nextState: end === 'failed' ? 'failed' : 'cancelled' }
  if (end === 'never-started' && job.state === 'starting') return { nextState: 'queued' }
  if (!job.idempotent) {
    return end === 'failed'
      ? { nextState: 'failed', reason: 'the task failed' }
      : { nextState: 'lost', reason: 'the task ended early and may have had an effect' }
  }
  if (end !== 'failed') {
    return {
      nextState: 'queued',
      ...(task.checkpoint === undefined ? {} : { changes: { checkpoint: task.checkpoint } }),
    }
  }
  const { failedRacks, isFaulty } = assessJobFailure(job.failedRacks, task.rack)
  if (!isFaulty) return { nextState: 'queued', changes: { failedRacks } }
  const reason = `it failed on workers of the racks ${failedRacks.join(', ')}`
  return { nextState: 'parked', reason, changes: { failedRacks } }
}
