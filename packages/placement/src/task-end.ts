import type { Job, JobState } from '@bulrushbridge/jobs'
import { blameJob } from './blame.js'

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
  to: JobState
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
  if (end === 'finished') return { to: 'finished' }
  if (job.state === 'cancelling') return { to: end === 'failed' ? 'failed' : 'cancelled' }
  if (end === 'never-started' && job.state === 'starting') return { to: 'queued' }
  if (!job.idempotent) {
    return end === 'failed'
      ? { to: 'failed', reason: 'the task failed' }
      : { to: 'lost', reason: 'the task ended early and may have had an effect' }
  }
  if (end !== 'failed') {
    return {
      to: 'queued',
      ...(task.checkpoint === undefined ? {} : { changes: { checkpoint: task.checkpoint } }),
    }
  }
  const { failedRacks, isFaulty } = blameJob(job.failedRacks, task.rack)
  if (!isFaulty) return { to: 'queued', changes: { failedRacks } }
  const reason = `it failed on workers of the racks ${failedRacks.join(', ')}`
  return { to: 'parked', reason, changes: { failedRacks } }
}
