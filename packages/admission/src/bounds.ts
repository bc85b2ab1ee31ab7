/** Requests that one entry host queues per slot of the pool. */
export const queuedPerSlot = 4

/** Part of the queue that teams above their own part may fill; the rest is kept for the others. */
export const lendingLimit = 7 / 8

const totals = new WeakMap<ReadonlyMap<string, number>, number>()

/**
 * The part of the queue that a team has by its share, at least one request.
 *
 * @example
 * guaranteedPart(new Map([['a', 3], ['b', 1]]), 'a', 256) // 192
 */
export function guaranteedPart(
  shares: ReadonlyMap<string, number>,
  team: string,
  capacity: number,
): number {
  let total = totals.get(shares)
  if (total === undefined) {
    total = [...shares.values()].reduce((sum, share) => sum + share, 0)
    totals.set(shares, total)
  }
  return Math.max(1, Math.floor((capacity * (shares.get(team) ?? 0)) / Math.max(total, 1e-9)))
}
