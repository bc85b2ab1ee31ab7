/** Weight of the newest observation of a queue. */
const newestWeight = 0.05

/** Observations of a queue before its mean counts as much as the declared estimate. */
const trustedAfter = 10

/** Weight of the declared estimate beside a trusted mean, in logarithms. */
const declaredWeight = 0.3

/** Run times learned from ended runs, by queue. */
export interface RunTimes {
  /** Observes a run that was done, with the time that it worked. */
  observe(queue: string, ms: number): void
  /** Expected run time of a task with this declared estimate, in milliseconds. */
  estimateMs(queue: string, declaredMs: number): number
}

/**
 * Creates the run times. Declared estimates are off by up to 90%, while tasks of a queue are alike,
 * so an estimate is pulled towards the mean of its queue; geometric means keep single long runs
 * from dominating.
 *
 * @example
 * const ms = times.estimateMs('finder', step.estimateMs)
 */
export function createRunTimes(): RunTimes {
  const queues = new Map<string, { count: number; meanLog: number }>()
  return {
    observe: (queue, ms) => {
      const log = Math.log(Math.max(1, ms))
      const known = queues.get(queue)
      if (known === undefined) {
        queues.set(queue, { count: 1, meanLog: log })
        return
      }
      known.count += 1
      const weight = Math.max(newestWeight, 1 / known.count)
      known.meanLog += weight * (log - known.meanLog)
    },
    estimateMs: (queue, declaredMs) => {
      const known = queues.get(queue)
      const declaredLog = Math.log(Math.max(1, declaredMs))
      if (known === undefined) return Math.exp(declaredLog)
      const trust = Math.min(1, known.count / trustedAfter) * (1 - declaredWeight)
      return Math.exp(trust * known.meanLog + (1 - trust) * declaredLog)
    },
  }
}
