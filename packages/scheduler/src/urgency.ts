import type { JobQueue } from './configuration.js'
import type { JobExecution, StepExecution } from './job-execution.js'
import { expectedMsOf, type RunTimeSource } from './run-time-estimator.js'

/** Urgency of a step. Lower values go first; fields are compared in the order given here. */
export interface Urgency {
  /**
   * 1 for a finite step of a job beyond the rate that its organisation is guaranteed, 0 for others.
   */
  excessRank: number
  /** 0 for a lasting step, 1 for a step that can still be on time, 2 for one that is late. */
  tier: number
  /** Priority of the queue; queues with a lower number go first. */
  priority: number
  /** 0 for a job that has had a run, 1 for others, so that work already done for it is not wasted. */
  begunRank: number
  /**
   * Time until the step must start for its job to be on time, in milliseconds; negative if late.
   */
  slackMs: number
}

/** Tier of a step that is late. */
export const lateTier = 2

/** Fraction of the remaining critical path by which a job may be late before it counts as late. */
const lateTolerance = 0.15

/**
 * Computes the urgency of a step. A job that ends after its latency objective counts for far less,
 * so steps that can no longer be on time come after steps that can. In order of arrival, every job
 * would be late under overload. `isExcess` is undefined where no organisation has a weight; the order is
 * then the one without shares.
 *
 * @example
 * const { slackMs } = urgencyOf(execution, queue, runTimes, Date.now())
 */
export function urgencyOf(
  execution: StepExecution,
  queue: JobQueue,
  runTimes: RunTimeSource,
  wallNow: number,
  pathsOf: CriticalPaths = createCriticalPaths(runTimes),
  isExcess?: boolean,
): Urgency {
  const { job, definition } = execution
  const begunRank = job.isPlaced ? 0 : 1
  if (definition.isLasting === true)
    return { excessRank: 0, tier: 0, priority: queue.priority, begunRank, slackMs: 0 }
  const [wholeMs = 0, ...laterMs] = pathsOf(job)
  const remainingMs = execution.number === 0 ? wholeMs : (laterMs[execution.number - 1] ?? 0)
  const objectiveMs = queue.stretch * wholeMs + queue.targetLatencyMs
  const slackMs = dueAt(job, execution.occurrence) + objectiveMs - wallNow - remainingMs
  const isLate = slackMs < -lateTolerance * remainingMs
  const excessRank = isExcess === true ? 1 : 0
  return {
    excessRank,
    tier: isLate ? lateTier : 1,
    priority: queue.priority,
    begunRank,
    slackMs,
  }
}

/** Compares two urgencies for sorting, most urgent first. */
export function compareUrgency(a: Urgency, b: Urgency): number {
  return compareClass(a, b) || a.begunRank - b.begunRank || a.slackMs - b.slackMs
}

/** Compares what goes before the shares of organisations; 0 if these decide. */
export function compareClass(a: Urgency, b: Urgency): number {
  return a.excessRank - b.excessRank || a.tier - b.tier || a.priority - b.priority
}

/** When the time of a step's latency objective started, in Unix milliseconds. */
export function stepDueAt({ job, occurrence }: StepExecution): number {
  return dueAt(job, occurrence)
}

/**
 * Time within which a job is on time, in milliseconds. It starts when the job is accepted, or, for a
 * job with a schedule, when the occurrence is due.
 */
export function latencyObjectiveMs(
  job: JobExecution,
  queue: JobQueue,
  runTimes: RunTimeSource,
): number {
  const [pathMs = 0] = criticalPathsOf(job, runTimes)
  return queue.stretch * pathMs + queue.targetLatencyMs
}

/** When the time of the latency objective starts, in Unix milliseconds. */
function dueAt(job: JobExecution, occurrence: number): number {
  const { schedule, acceptedAt } = job.definition
  return schedule === undefined ? acceptedAt : schedule.firstAt + occurrence * schedule.intervalMs
}

/**
 * Returns for each step of a job the estimate of the critical path from this step on, in milliseconds.
 * Steps with a lower number count as done, and all others as still to run, even if they run beside it.
 */
export type CriticalPaths = (job: JobExecution) => readonly number[]

/**
 * Creates the source of critical paths for one placement pass, which computes those of a job once.
 *
 * @example
 * const pathsOf = createCriticalPaths(runTimes)
 * steps.map(step => urgencyOf(step, queue, runTimes, wallNow, pathsOf))
 */
export function createCriticalPaths(runTimes: RunTimeSource): CriticalPaths {
  const paths = new Map<JobExecution, readonly number[]>()
  return job => {
    let found = paths.get(job)
    if (found === undefined) {
      found = criticalPathsOf(job, runTimes)
      paths.set(job, found)
    }
    return found
  }
}

function criticalPathsOf(job: JobExecution, runTimes: RunTimeSource): number[] {
  const { steps, queue } = job.definition
  /** By step, the longest path through the steps that wait for it. */
  const afterMs = new Array<number>(steps.length).fill(0)
  const remainingMs = new Array<number>(steps.length).fill(0)
  for (let number = steps.length - 1; number >= 0; number--) {
    const step = steps[number]
    if (step === undefined) continue
    const pathMs = expectedMsOf(runTimes, queue, step) + (afterMs[number] ?? 0)
    for (const earlier of step.after ?? [])
      afterMs[earlier] = Math.max(afterMs[earlier] ?? 0, pathMs)
    remainingMs[number] = Math.max(pathMs, remainingMs[number + 1] ?? 0)
  }
  return remainingMs
}
