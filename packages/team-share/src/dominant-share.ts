/** Amounts of the resources that jobs use. */
export interface Resources {
  cpus: number
  /** Any unit, the same for usage and capacity. */
  memory: number
  accelerators: number
}

/** A team with what its jobs use. */
export interface TeamUsage {
  team: string
  /** Share of the team. */
  weight: number
  usage: Resources
}

/**
 * The largest fraction that a usage takes of any resource. A resource that does not exist counts
 * as exhausted when it is used.
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
 * Teams in the order of weighted dominant resource fairness: the first is owed the next job.
 * Ties go by name, so that the order does not depend on that of the input.
 *
 * @example
 * const [first] = fairOrder([{ team: 'a', weight: 2, usage }], capacity)
 */
export function fairOrder<T extends TeamUsage>(teams: readonly T[], capacity: Resources): T[] {
  const keyed = teams.map(entry => ({
    entry,
    level: dominantShare(entry.usage, capacity) / entry.weight,
  }))
  keyed.sort((a, b) => a.level - b.level || (a.entry.team < b.entry.team ? -1 : 1))
  return keyed.map(({ entry }) => entry)
}

function fractionOf(used: number, available: number): number {
  if (used <= 0) return 0
  return available > 0 ? used / available : Number.MAX_VALUE
}
