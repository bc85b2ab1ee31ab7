/** What one team has running and waiting at one entry host. */
export interface Demand {
  member: string
  team: string
  running: number
  waiting: number
}

/** Input of {@link allocate}. */
export interface AllocateOptions {
  /** Slots of the pool's runners in service. */
  slots: number
  /** Weight of each team. A team without an entry gets only what the others leave. */
  shares: ReadonlyMap<string, number>
  /** Entries of the same member and team are added up. */
  demand: readonly Demand[]
  /** Upper limit of running requests per team; absent means unlimited. */
  limits?: ReadonlyMap<string, number>
  /**
   * Number of the rounding period, the same at every entry host. Quotas of successive periods
   * average to the exact allocation.
   */
  rotation?: number
}

/** Result of {@link allocate}; slots everywhere. */
export interface Allocation {
  /** Exact allocation per team with demand. */
  teams: Map<string, number>
  /** Whole slots per member and team; entries of 0 are left out. */
  quotas: Map<string, Map<string, number>>
  /** Whole slots per member, rounded once from the exact sum over its teams. */
  members: Map<string, number>
  /** Slots that no demand claims. */
  spare: number
  /** Slots per unit of share for teams with more demand than share; infinite when none has. */
  level: number
  /** Exact allocation of one team at one member. */
  exact(member: string, team: string): number
}

/** Weight of a team without a share: it is served from what the others leave. */
export const noShare = 1e-9

/** Step of the rounding offset per period; the golden ratio spreads successive offsets evenly. */
const rotationStep = 0.618_033_988_749_894_9

/** Absorbs floating-point error in sums that are whole numbers by construction. */
const epsilon = 1e-9

interface Table {
  teams: string[]
  members: string[]
  /** Row of each team and column of each member. */
  teamIds: Map<string, number>
  memberIds: Map<string, number>
  /** Demand per team and member, row by row. */
  cells: Float64Array
  /** Demand per team, capped by its limit. */
  wanted: Float64Array
  totals: Float64Array
}

/**
 * Divides a pool's slots over teams by weighted max-min fairness and then over entry hosts by
 * demand. Equal inputs in any order give equal outputs, so every entry host computes the same.
 *
 * Rounding: cumulative sums are rounded down at a common offset that rotates with `rotation`.
 * Each quota is its exact value rounded down or up, and so is each team's sum. Plain largest
 * remainder would give a small remainder nothing in every period; here each remainder is rounded
 * up in the matching fraction of the periods.
 *
 * @example
 * allocate({ slots: 8, shares: new Map([['a', 3], ['b', 1]]), demand })
 */
export function allocate(opts: AllocateOptions): Allocation {
  const table = tabulate(opts)
  const { teams, members, cells, totals } = table
  const { granted, level } = fillLevels(opts.slots, opts.shares, table)
  const width = members.length
  const offset = fraction((opts.rotation ?? 0) * rotationStep)
  const exact = new Float64Array(cells.length)
  const memberSums = new Float64Array(width)
  const quotas = new Map(members.map(member => [member, new Map<string, number>()]))
  let sum = offset
  let rounded = 0
  let given = 0
  for (let row = 0; row < teams.length; row++) {
    const factor = at(granted, row) / Math.max(at(totals, row), 1)
    given += at(granted, row)
    let rowSum = 0
    for (let col = 0; col < width; col++) {
      const value = at(cells, row * width + col) * factor
      if (value === 0) continue
      exact[row * width + col] = value
      memberSums[col] = at(memberSums, col) + value
      rowSum += value
      const next = Math.floor(sum + rowSum + epsilon)
      if (next > rounded) quotas.get(members[col] ?? '')?.set(teams[row] ?? '', next - rounded)
      rounded = next
    }
    // Restarting from the exact team sum keeps the error of a row from reaching the next.
    sum = offset + given
  }
  return {
    teams: new Map(teams.map((team, row) => [team, at(granted, row)])),
    quotas,
    members: roundSums(members, memberSums, offset),
    spare: Math.max(0, opts.slots - given),
    level,
    exact(member, team) {
      const row = table.teamIds.get(team)
      const col = table.memberIds.get(member)
      return row === undefined || col === undefined ? 0 : at(exact, row * width + col)
    },
  }
}

function tabulate({ demand, limits }: AllocateOptions): Table {
  const teamIds = new Map<string, number>()
  const memberIds = new Map<string, number>()
  let previous: string | undefined
  for (const { team, member } of demand) {
    if (!teamIds.has(team)) teamIds.set(team, 0)
    // Reports come per member, so that the member mostly repeats that of the entry before.
    if (member !== previous) memberIds.set(member, 0)
    previous = member
  }
  const teams = rankNames(teamIds)
  const members = rankNames(memberIds)
  const cells = new Float64Array(teams.length * members.length)
  const totals = new Float64Array(teams.length)
  previous = undefined
  let col = 0
  for (const { team, member, running, waiting } of demand) {
    const row = teamIds.get(team) ?? 0
    if (member !== previous) col = memberIds.get(member) ?? 0
    previous = member
    const cell = row * members.length + col
    cells[cell] = at(cells, cell) + running + waiting
    totals[row] = at(totals, row) + running + waiting
  }
  const wanted = totals.map((total, row) =>
    Math.min(total, limits?.get(teams[row] ?? '') ?? Number.POSITIVE_INFINITY),
  )
  return { teams, members, teamIds, memberIds, cells, wanted, totals }
}

/** Sorts the names and stores each one's rank as its id. */
function rankNames(ids: Map<string, number>): string[] {
  const names = [...ids.keys()].sort(byCodeUnit)
  for (const [rank, name] of names.entries()) ids.set(name, rank)
  return names
}

/** Weighted water filling: teams in order of demand per share; the rest divide what is left. */
function fillLevels(
  slots: number,
  shares: ReadonlyMap<string, number>,
  { teams, wanted }: Table,
): { granted: Float64Array; level: number } {
  const weights = wanted.map((_, row) => Math.max(shares.get(teams[row] ?? '') ?? 0, noShare))
  const need = wanted.map((want, row) => want / at(weights, row))
  const order = [...teams.keys()].sort((a, b) => at(need, a) - at(need, b) || a - b)
  const weightFrom = new Float64Array(order.length + 1)
  for (let i = order.length - 1; i >= 0; i--) {
    weightFrom[i] = at(weightFrom, i + 1) + at(weights, order[i] ?? 0)
  }
  const granted = new Float64Array(teams.length)
  let left = slots
  for (const [i, row] of order.entries()) {
    const level = left / at(weightFrom, i)
    if (at(need, row) > level) {
      for (const rest of order.slice(i)) granted[rest] = level * at(weights, rest)
      return { granted, level }
    }
    granted[row] = at(wanted, row)
    left -= at(wanted, row)
  }
  return { granted, level: Number.POSITIVE_INFINITY }
}

function roundSums(members: string[], sums: Float64Array, offset: number): Map<string, number> {
  let sum = offset
  let rounded = 0
  return new Map(
    members.map((member, col) => {
      sum += at(sums, col)
      const before = rounded
      rounded = Math.floor(sum + epsilon)
      return [member, rounded - before]
    }),
  )
}

function at(values: Float64Array, index: number): number {
  return values[index] ?? 0
}

function fraction(value: number): number {
  return value - Math.floor(value)
}

/** Compares without a locale, so that every entry host sorts alike. */
function byCodeUnit(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0
}
