import type { Queue } from './configuration.js'
import { criticalPathMs } from './job.js'
import type { JobState, StepState } from './job-execution.js'
import type { RunTimes } from './run-time-estimator.js'

/** Urgency of a step. Lower values go first; fields are compared in the order given here. */
export interface Urgency {
  /** 0 for a lasting step, 1 for a step that can still be on time, 2 for one that is late. */
  tier: number
  /** Priority of the queue; 0 goes first. */
  priority: number
  /** 0 for a job that has begun, else 1, so that the work already done for a job is not wasted. */
  notBegun: number
  /**
   * Time until the step must start for its job to be on time, in milliseconds; negative if late.
   */
  slackMs: number
}

/** Fraction of the remaining critical path by which a job may be late before it counts as late. */
const lateTolerance = 0.15

/**
 * Computes the urgency of a step. A job is worth far less once it ends after its latency objective,
 * so steps that can no longer be on time come after steps that can. Under overload, serving jobs in
 * order of arrival would make every job late by the same amount.
 *
 * @example
 * const { slackMs } = urgencyOf(state, queue, runTimes, Date.now())
 */
export function urgencyOf(
  state: StepState,
  queue: Queue,
  runTimes: RunTimes,
  wallNow: number,
): Urgency {
  const { job, step } = state
  const notBegun = job.status === 'queued' ? 1 : 0
  if (step.isLasting === true) return { tier: 0, priority: queue.priority, notBegun, slackMs: 0 }
  const remainingMs = remainingCriticalPathMs(state, runTimes)
  const slackMs =
    dueAt(job, state.occurrence) + latencyObjectiveMs(job, queue, runTimes) - wallNow - remainingMs
  const isLate = slackMs < -lateTolerance * remainingMs
  return { tier: isLate ? 2 : 1, priority: queue.priority, notBegun, slackMs }
}

/** Compares two urgencies for sorting, most urgent first. */
export function compareUrgency(a: Urgency, b: Urgency): number {
  return (
    a.tier - b.tier || a.priority - b.priority || a.notBegun - b.notBegun || a.slackMs - b.slackMs
  )
}

/** Time after its due time within which a job is on time, in milliseconds. */
export function latencyObjectiveMs(job: JobState, queue: Queue, runTimes: RunTimes): number {
  const { steps } = job.job
  const pathMs = criticalPathMs(steps, step => runTimes.estimateMs(queue.name, step.estimateMs))
  return queue.stretch * pathMs + queue.targetLatencyMs
}

function dueAt(job: JobState, occurrence: number): number {
  const { schedule, acceptedAt } = job.job
  return schedule === undefined ? acceptedAt : schedule.firstAt + occurrence * schedule.intervalMs
}

/** Critical path of the job from this step on, in milliseconds. */
function remainingCriticalPathMs(state: StepState, runTimes: RunTimes): number {
  const { steps, queue } = state.job.job
  const remainingMs = criticalPathMs(steps, (step, number) =>
    number < state.number ? 0 : runTimes.estimateMs(queue, step.estimateMs),
  )
  return remainingMs
}
