/** Factor up to which a runner counts as fast as its peers; less is the spread of run times. */
const toleratedFactor = 1.2

/** Highest slowness, so that it stays below the cost of interference with one other task. */
const maxSlowness = 8

/** Slowness of a runner on which tasks take twice as long, which outweighs any fit. */
const slownessOfDouble = 3

/**
 * Returns the summand for a slow runner in the cost of a start there, from the time that runs take on
 * the runner over that on its peers. Runners that are faster than their peers are not preferred, as they
 * would be filled before others that fit better.
 *
 * @example
 * const slowness = slownessOf(speeds.factor(session.id, session.runnerStartedAt, now))
 */
export function slownessOf(factor: number): number {
  if (factor <= toleratedFactor) return 0
  return Math.min(maxSlowness, slownessOfDouble * Math.log2(factor))
}
