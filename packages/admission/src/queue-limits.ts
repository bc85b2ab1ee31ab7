/** Most requests that one entry host queues per slot of the pool. */
export const queuedPerSlot = 4

/**
 * Fraction of the queue up to which teams over their own quota may fill it. The rest is reserved
 * for teams within their quota.
 */
export const overQuotaFillLimit = 7 / 8

const shareTotals = new WeakMap<ReadonlyMap<string, number>, number>()

/**
 * Returns the number of queued requests that a team is entitled to by its share, at least one.
 *
 * @example
 * teamQueueQuota(new Map([['a', 3], ['b', 1]]), 'a', 256) // 192
 */
export function teamQueueQuota(
  shares: ReadonlyMap<string, number>,
  team: string,
  capacity: number,
): number {
  let total = shareTotals.get(shares)
  if (total === undefined) {
    total = [...shares.values()].reduce((sum, share) => sum + share, 0)
    shareTotals.set(shares, total)
  }
  return Math.max(1, Math.floor((capacity * (shares.get(team) ?? 0)) / Math.max(total, 1e-9)))
}
