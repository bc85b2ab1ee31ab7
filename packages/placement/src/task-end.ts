import type { StoredJob, StoredJobState } from '@bulrushbridge/jobs'
import { assessJobFailure } from './worker-failure-tracker.js'

/**
 * How a task ended.
 *
 * - `finished`, `failed`: the worker reported this end.
 * - `never-started`: the worker has fenced the task id, or the start call was never made.
 * - `stopped`: the task may have run, and was stopped or lost its lease before it finished.
 */
export type TaskEnd = 'finished' | 'failed' | 'never-started' | 'stopped'

/** Next state of a job after its task has ended. */
export interface JobAfterTask {
  nextState: StoredJobState
  reason?: string
  changes?: Pick<StoredJob, 'failedRacks' | 'checkpoint'>
}

/**
 * Decides the next state of a job whose task has ended. A non-idempotent job goes back to the queue
 * only when its task never started.
 *
 * @example
 * const { nextState, reason, changes } = jobAfterTask(row.value, 'stopped', { rack: 'r1' })
 */
export function jobAfterTask(
  job: StoredJob,
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
