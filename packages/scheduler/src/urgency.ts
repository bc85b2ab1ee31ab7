import type { Queue } from './configuration.js'
import { longestChainMs } from './job.js'
import type { JobState, StepState } from './job-state.js'
import type { RunTimes } from './run-times.js'

/** How urgent a step is; lower values go first, compared from the first field on. */
export interface Urgency {
  /** 0 lasting work, 1 work that can be on time, 2 work that is late already. */
  rank: number
  /** Priority of the queue. */
  priority: number
  /** 0 for a job that has begun, so that work already done is not lost. */
  begun: number
  /** Time that is left before the step must start, in milliseconds. */
  slackMs: number
}

/** Fraction of the remaining chain by which a job may be late before it counts as late. */
const lateTolerance = 0.15

/**
 * Ranks a step. Jobs are worth far less when they end after their objective, so work that cannot be
 * on time any more yields to work that can: under overload, serving in order of arrival would make
 * every job late by the same time.
 *
 * @example
 * const { slackMs } = urgencyOf(step, queue, runTimes, Date.now())
 */
export function urgencyOf(
  state: StepState,
  queue: Queue,
  times: RunTimes,
  wallNow: number,
): Urgency {
  const { job, step } = state
  const begun = job.status === 'queued' ? 1 : 0
  if (step.isLasting === true) return { rank: 0, priority: queue.priority, begun, slackMs: 0 }
  const remainingMs = remainingChainMs(state, times)
  const slackMs =
    dueAt(job, state.occurrence) + objectiveMs(job, queue, times) - wallNow - remainingMs
  const isLate = slackMs < -lateTolerance * remainingMs
  return { rank: isLate ? 2 : 1, priority: queue.priority, begun, slackMs }
}

/** Orders urgencies, most urgent first. */
export function compareUrgency(a: Urgency, b: Urgency): number {
  return a.rank - b.rank || a.priority - b.priority || a.begun - b.begun || a.slackMs - b.slackMs
}

/** Time from its due time within which a job is on time. */
export function objectiveMs(job: JobState, queue: Queue, times: RunTimes): number {
  const { steps } = job.job
  const chainMs = longestChainMs(steps, step => times.estimateMs(queue.name, step.estimateMs))
  return queue.stretch * chainMs + queue.targetLatencyMs
}

function dueAt(job: JobState, occurrence: number): number {
  const { schedule, acceptedAt } = job.job
  return schedule === undefined ? acceptedAt : schedule.firstAt + occurrence * schedule.intervalMs
}

/** Longest chain of work from this step on. */
function remainingChainMs(state: StepState, times: RunTimes): number {
  const { steps, queue } = state.job.job
  const fromHere = longestChainMs(steps, (step, number) =>
    number < state.number ? 0 : times.estimateMs(queue, step.estimateMs),
  )
  return fromHere
}
