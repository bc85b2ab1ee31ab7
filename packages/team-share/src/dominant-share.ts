/** Amounts of the resources that jobs use. */
export interface Resources {
  cpus: number
  /** Any unit, the same for usage and capacity. */
  memory: number
  accelerators: number
}

/** A team and the resources that its jobs use. */
export interface TeamUsage {
  team: string
  /** Configured share of the team. */
  weight: number
  usage: Resources
}

/**
 * Returns the largest fraction of any resource's capacity that is in use. Usage of a resource with
 * no capacity counts as more than any fraction.
 *
 * @example
 * dominantShare({ cpus: 4, memory: 8, accelerators: 0 }, { cpus: 16, memory: 64, accelerators: 0 }) // 0.25
 */
export function dominantShare(usage: Resources, capacity: Resources): number {
  return Math.max(
    fractionOf(usage.cpus, capacity.cpus),
    fractionOf(usage.memory, capacity.memory),
    fractionOf(usage.accelerators, capacity.accelerators),
  )
}

/**
 * Sorts teams by weighted dominant resource fairness: the first has the lowest dominant share per
 * weight and gets the next job. Ties are broken by name, so that the result does not depend on the
 * order of the input.
 *
 * @example
 * const [first] = sortByDominantShare([{ team: 'a', weight: 2, usage }], capacity)
 */
export function sortByDominantShare<T extends TeamUsage>(
  teams: readonly T[],
  capacity: Resources,
): T[] {
  const ranked = teams.map(entry => ({
    entry,
    weightedShare: dominantShare(entry.usage, capacity) / entry.weight,
  }))
  ranked.sort((a, b) => a.weightedShare - b.weightedShare || (a.entry.team < b.entry.team ? -1 : 1))
  return ranked.map(({ entry }) => entry)
}

function fractionOf(used: number, available: number): number {
  if (used <= 0) return 0
  return available > 0 ? used / available : Number.MAX_VALUE
}
