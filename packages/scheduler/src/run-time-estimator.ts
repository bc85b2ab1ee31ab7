/** Lowest weight of the newest observation in the mean of a queue. */
const minNewestWeight = 0.05

/** Number of observations of a queue from which its mean has its full weight. */
const observationsForFullWeight = 10

/** Weight of the logarithm of the declared estimate; the full weight of the mean is the rest, 0.7. */
const declaredWeight = 0.3

/** Estimates run times from the ended runs of each queue. */
export interface RunTimeEstimator {
  /** Adds the duration of a run that ended as done, in milliseconds. */
  observe(queue: string, ms: number): void
  /** Returns the expected run time of a task with this declared estimate, in milliseconds. */
  estimateMs(queue: string, declaredMs: number): number
}

/**
 * Creates an estimator of run times. Submitters declare estimates that are off by up to 90%, while
 * tasks of a queue are alike, so an estimate is shifted towards the mean of its queue. The mean is
 * geometric, so that single long runs do not dominate it.
 *
 * @example
 * const ms = runTimes.estimateMs('finder', step.estimateMs)
 */
export function createRunTimeEstimator(): RunTimeEstimator {
  const queues = new Map<string, { count: number; meanLog: number }>()
  return {
    observe: (queue, ms) => {
      const log = Math.log(Math.max(1, ms))
      const stats = queues.get(queue)
      if (stats === undefined) {
        queues.set(queue, { count: 1, meanLog: log })
        return
      }
      stats.count += 1
      const weight = Math.max(minNewestWeight, 1 / stats.count)
      stats.meanLog += weight * (log - stats.meanLog)
    },
    estimateMs: (queue, declaredMs) => {
      const stats = queues.get(queue)
      const declaredLog = Math.log(Math.max(1, declaredMs))
      if (stats === undefined) return Math.exp(declaredLog)
      const meanWeight = Math.min(1, stats.count / observationsForFullWeight) * (1 - declaredWeight)
      return Math.exp(meanWeight * stats.meanLog + (1 - meanWeight) * declaredLog)
    },
  }
}
