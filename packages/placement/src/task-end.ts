import type { StoredJob, StoredJobState } from '@bulrushbridge/jobs'
import { assessJobFailure } from './worker-failure-tracker.js'
import { countWorkerLosses, maxWorkerLosses, type TaskRun } from './worker-losses.js'
import type { PlacementDecision } from './worker-reconciler.js'

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
  changes?: Pick<StoredJob, 'failedRacks' | 'workerLosses' | 'checkpoint'>
}

/** What is known of a run when its task ends. */
export interface EndedRun extends TaskRun {
  /** Progress that the worker saved before the task was stopped. */
  checkpoint?: unknown
}

/**
 * Decides the next state of a job whose task has ended. A non-idempotent job goes back to the queue
 * only when its task never started. A job fails once too many workers were lost under it.
 *
 * @example
 * const { nextState, reason, changes } = jobAfterTask(row.value, 'stopped', { rack: 'r1' })
 */
export function jobAfterTask(
  job: StoredJob,
  end: TaskEnd,
  task: EndedRun & { rack: string },
): JobAfterTask {
  if (end === 'finished') return { nextState: 'finished' }
  if (job.state === 'cancelling') return { nextState: end === 'failed' ? 'failed' : 'cancelled' }
  if (end === 'never-started' && job.state === 'starting') return { nextState: 'queued' }
  if (!job.idempotent) {
    return end === 'failed'
      ? { nextState: 'failed', reason: 'the task failed' }
      : { nextState: 'lost', reason: 'the task ended early and may have had an effect' }
  }
  const workerLosses = countWorkerLosses(job, task)
  const lossChange = workerLosses === (job.workerLosses ?? 0) ? {} : { workerLosses }
  if (workerLosses >= maxWorkerLosses) {
    const reason = `${workerLosses} workers were lost while they ran it`
    return { nextState: 'failed', reason, changes: lossChange }
  }
  if (end !== 'failed') {
    const checkpointChange = task.checkpoint === undefined ? {} : { checkpoint: task.checkpoint }
    return { nextState: 'queued', changes: { ...lossChange, ...checkpointChange } }
  }
  const { failedRacks, isFaulty } = assessJobFailure(job.failedRacks, task.rack)
  const changes = { ...lossChange, failedRacks }
  if (!isFaulty) return { nextState: 'queued', changes }
  const reason = `it failed on workers of the racks ${failedRacks.join(', ')}`
  return { nextState: 'parked', reason, changes }
}

/** The decision to record when a job is parked or given up after its task has ended. */
export function decisionAfterTask(
  id: string,
  { nextState, changes }: JobAfterTask,
): PlacementDecision | undefined {
  const subject = { kind: 'job', id }
  const { failedRacks, workerLosses } = changes ?? {}
  if (nextState === 'parked')
    return { subject, rule: 'job-failed-racks', observed: { failedRacks }, action: 'park' }
  if (nextState === 'failed' && workerLosses !== undefined)
    return { subject, rule: 'job-lost-workers', observed: { workerLosses }, action: 'fail' }
  return undefined
}
