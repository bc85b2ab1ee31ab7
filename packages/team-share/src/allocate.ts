/** Running and waiting requests of one team at one entry host. */
export interface Demand {
  /** Id of the entry host. */
  member: string
  team: string
  running: number
  waiting: number
}

/** Input of {@link allocate}. */
export interface AllocateOptions {
  /** Slots of the pool's runners in service. */
  slots: number
  /** Weight of each team. A team without an entry gets only the slots that the others leave. */
  shares: ReadonlyMap<string, number>
  /** Entries of the same member and team are added up. */
  demand: readonly Demand[]
  /** Upper limit of running requests per team; absent means unlimited. */
  limits?: ReadonlyMap<string, number>
  /**
   * Number of the current rounding period, the same at every entry host. Over successive periods
   * the quotas average to the exact allocation.
   */
  roundingPeriod?: number
}

/** Result of {@link allocate}. All amounts are in slots. */
export interface Allocation {
  /** Exact allocation per team with demand. */
  teams: Map<string, number>
  /** Whole slots per member and team; entries of 0 are left out. */
  quotas: Map<string, Map<string, number>>
  /** Whole slots per member, rounded once from the exact sum over its teams. */
  members: Map<string, number>
  /** Slots that no demand within the limits can use. */
  spare: number
  /** Slots per unit of weight of teams with unmet demand; infinite when all demand is met. */
  level: number
  /** Returns the exact allocation of one team at one member. */
  exact(member: string, team: string): number
}

/** Weight of a team without a share, so small that it gets only the slots that the others leave. */
export const weightWithoutShare = 1e-9

/** Increase of the rounding offset per period; the golden ratio spreads the offsets evenly. */
const offsetStep = 0.618_033_988_749_894_9

/** Tolerance for floating-point error in sums that are whole numbers by construction. */
const epsilon = 1e-9

/** Demand with one row per team and one column per member. */
interface DemandMatrix {
  teams: string[]
  members: string[]
  teamRows: Map<string, number>
  memberColumns: Map<string, number>
  /** Demand per team and member, in row-major order. */
  cells: Float64Array
  /** Demand per team, capped by its limit. */
  cappedTotals: Float64Array
  /** Demand per team without the cap. */
  totals: Float64Array
}

/**
 * Divides a pool's slots among teams by weighted max-min fairness and then among entry hosts in
 * proportion to their demand. The result does not depend on the order of the input, so every entry
 * host computes the same one.
 *
 * Rounding: cumulative sums are rounded down after a common offset, which changes with each period,
 * has been added. Each quota is its exact value rounded down or up, and so is each team's sum. The
 * largest remainder method would round a small remainder down in every period; here each remainder
 * is rounded up in a fraction of the periods equal to its size.
 *
 * @example
 * allocate({ slots: 8, shares: new Map([['a', 3], ['b', 1]]), demand })
 */
export function allocate(opts: AllocateOptions): Allocation {
  const matrix = buildDemandMatrix(opts)
  const { teams, members, cells, totals } = matrix
  const { granted, level } = divideByWeight(opts.slots, opts.shares, matrix)
  const columnCount = members.length
  const offset = fraction((opts.roundingPeriod ?? 0) * offsetStep)
  const exact = new Float64Array(cells.length)
  const memberSums = new Float64Array(columnCount)
  const quotas = new Map(members.map(member => [member, new Map<string, number>()]))
  let sum = offset
  let rounded = 0
  let grantedSum = 0
  for (let row = 0; row < teams.length; row++) {
    const factor = valueAt(granted, row) / Math.max(valueAt(totals, row), 1)
    grantedSum += valueAt(granted, row)
    let rowSum = 0
    for (let col = 0; col < columnCount; col++) {
      const value = valueAt(cells, row * columnCount + col) * factor
      if (value === 0) continue
      exact[row * columnCount + col] = value
      memberSums[col] = valueAt(memberSums, col) + value
      rowSum += value
      const next = Math.floor(sum + rowSum + epsilon)
      if (next > rounded) quotas.get(members[col] ?? '')?.set(teams[row] ?? '', next - rounded)
      rounded = next
    }
    // The next row starts from the exact team sum, so that floating-point errors do not add up.
    sum = offset + grantedSum
  }
  return {
    teams: new Map(teams.map((team, row) => [team, valueAt(granted, row)])),
    quotas,
    members: roundSums(members, memberSums, offset),
    spare: Math.max(0, opts.slots - grantedSum),
    level,
    exact(member, team) {
      const row = matrix.teamRows.get(team)
      const col = matrix.memberColumns.get(member)
      return row === undefined || col === undefined ? 0 : valueAt(exact, row * columnCount + col)
    },
  }
}

function buildDemandMatrix({ demand, limits }: AllocateOptions): DemandMatrix {
  const teamRows = new Map<string, number>()
  const memberColumns = new Map<string, number>()
  let previous: string | undefined
  for (const { team, member } of demand) {
    if (!teamRows.has(team)) teamRows.set(team, 0)
    // Entries are grouped by member, so the member is mostly the same as in the previous entry.
    if (member !== previous) memberColumns.set(member, 0)
    previous = member
  }
  const teams = rankNames(teamRows)
  const members = rankNames(memberColumns)
  const cells = new Float64Array(teams.length * members.length)
  const totals = new Float64Array(teams.length)
  previous = undefined
  let col = 0
  for (const { team, member, running, waiting } of demand) {
    const row = teamRows.get(team) ?? 0
    if (member !== previous) col = memberColumns.get(member) ?? 0
    previous = member
    const cell = row * members.length + col
    cells[cell] = valueAt(cells, cell) + running + waiting
    totals[row] = valueAt(totals, row) + running + waiting
  }
  const cappedTotals = totals.map((total, row) =>
    Math.min(total, limits?.get(teams[row] ?? '') ?? Number.POSITIVE_INFINITY),
  )
  return { teams, members, teamRows, memberColumns, cells, cappedTotals, totals }
}

/** Sorts the names and stores the position of each in the map. */
function rankNames(ranks: Map<string, number>): string[] {
  const names = [...ranks.keys()].sort(compareCodeUnits)
  for (const [rank, name] of names.entries()) ranks.set(name, rank)
  return names
}

/**
 * Divides the slots by weighted water filling. In increasing order of demand per weight, each team
 * whose demand fits gets all of it; the others divide the remaining slots by weight.
 */
function divideByWeight(
  slots: number,
  shares: ReadonlyMap<string, number>,
  { teams, cappedTotals }: DemandMatrix,
): { granted: Float64Array; level: number } {
  const weights = cappedTotals.map((_, row) =>
    Math.max(shares.get(teams[row] ?? '') ?? 0, weightWithoutShare),
  )
  const demandPerWeight = cappedTotals.map((total, row) => total / valueAt(weights, row))
  const order = [...teams.keys()].sort(
    (a, b) => valueAt(demandPerWeight, a) - valueAt(demandPerWeight, b) || a - b,
  )
  const remainingWeights = new Float64Array(order.length + 1)
  for (let i = order.length - 1; i >= 0; i--) {
    remainingWeights[i] = valueAt(remainingWeights, i + 1) + valueAt(weights, order[i] ?? 0)
  }
  const granted = new Float64Array(teams.length)
  let slotsLeft = slots
  for (const [i, row] of order.entries()) {
    const level = slotsLeft / valueAt(remainingWeights, i)
    if (valueAt(demandPerWeight, row) > level) {
      for (const rest of order.slice(i)) granted[rest] = level * valueAt(weights, rest)
      return { granted, level }
    }
    granted[row] = valueAt(cappedTotals, row)
    slotsLeft -= valueAt(cappedTotals, row)
  }
  return { granted, level: Number.POSITIVE_INFINITY }
}

/** Rounds the exact sums of the members so that the results add up to the rounded total. */
function roundSums(members: string[], sums: Float64Array, offset: number): Map<string, number> {
  let sum = offset
  let rounded = 0
  return new Map(
    members.map((member, col) => {
      sum += valueAt(sums, col)
      const before = rounded
      rounded = Math.floor(sum + epsilon)
      return [member, rounded - before]
    }),
  )
}

function valueAt(values: Float64Array, index: number): number {
  return values[index] ?? 0
}

function fraction(value: number): number {
  return value - Math.floor(value)
}

/** Compares without a locale, so that every entry host sorts in the same order. */
function compareCodeUnits(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0
}
