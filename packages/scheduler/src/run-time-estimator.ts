import { createRunTimeModel, type RunTimeModel, type TaskKind } from '@bulrushbridge/run-times'
import type { Step } from './job.js'

/** Estimates run times from the ended runs of each queue, whatever their steps are. */
export interface RunTimeEstimator {
  /** Adds the duration of a run that ended as done, in milliseconds. */
  observe(queue: string, ms: number): void
  /** Returns the expected run time of a task with this declared estimate, in milliseconds. */
  estimateMs(queue: string, declaredMs: number): number
}

/** Source of expected run times; for a {@link RunTimeEstimator} all tasks of a queue are alike. */
export type RunTimeSource = RunTimeEstimator | Pick<RunTimeModel, 'estimate' | 'estimateMs'>

/**
 * Creates an estimator for callers that have no step: a run-time model of which only the level of the
 * queue is used.
 *
 * @example
 * const ms = runTimes.estimateMs('finder', step.estimateMs)
 */
export function createRunTimeEstimator(): RunTimeEstimator {
  const model = createRunTimeModel()
  return {
    observe: (queue, ms) => {
      model.observe({ queue, cpuMillis: 0, declaredMs: ms, ms })
    },
    estimateMs: (queue, declaredMs) => model.estimateMs(queue, declaredMs),
  }
}

/** Returns what the run-time model knows the tasks of a step by. */
export function taskKindOf(queue: string, { image, amounts, estimateMs }: Step): TaskKind {
  return { queue, image, cpuMillis: amounts.cpuMillis, declaredMs: estimateMs }
}

/** Returns the expected run time of a task of a step, in milliseconds. */
export function expectedMsOf(runTimes: RunTimeSource, queue: string, step: Step): number {
  if (!('estimate' in runTimes)) return runTimes.estimateMs(queue, step.estimateMs)
  return runTimes.estimate(taskKindOf(queue, step)).meanMs
}
