/**
 * Distance between the fencing tokens of two terms of the dispatcher. The numbers between them are
 * for restarts of runners: a restarted runner has forgotten the tokens that it had seen.
 */
export const fencesPerTerm = 1_024

/**
 * Fencing token for the calls to a runner that has restarted `restarts` times in the term with the
 * token `termFence`. Calls that were sent before the last restart carry a lower one.
 *
 * @example
 * const fence = runnerFence(held.token, restarts)
 */
export function runnerFence(termFence: number, restarts: number): number {
  return termFence + Math.min(restarts, fencesPerTerm - 1)
}

/**
 * Whether a fencing token belongs to an earlier term than another.
 *
 * @example
 * if (isOfEarlierTerm(order.fence, highestFence)) return { refusal: 'fence' }
 */
export function isOfEarlierTerm(fence: number, other: number): boolean {
  return Math.floor(fence / fencesPerTerm) < Math.floor(other / fencesPerTerm)
}
