import { largestFraction, type Amounts } from './amounts.js'

/** A machine as the plan of moves sees it. */
export interface MovableMachine {
  id: string
  pool: string
  capacity: Amounts
  /** It has come from the spare pool and goes back. */
  isLent: boolean
  /** Its availability zone takes no new work. */
  isZoneOut: boolean
  /** Nothing runs on it since this time; undefined while something may. */
  idleSince: number | undefined
}

/** A pool as the plan of moves sees it. */
export interface PoolLoad {
  name: string
  isSpare: boolean
  /** What the tasks that could start now, but find no room, take together. */
  waiting: Amounts
  /** Machines on their way into the pool. */
  arriving: number
  /** Machines that are up in the pool. */
  up: number
}

/** Input of {@link planPoolMoves}. */
export interface PoolMoveState {
  machines: readonly MovableMachine[]
  pools: readonly PoolLoad[]
  now: number
  /** Most moves at once. */
  limit: number
}

/** A machine and the pool that it is to join. */
export interface PoolMove {
  machine: string
  to: string
}

/**
 * An idle machine is switched off after this time, in milliseconds.
 * Two moves cost as much as 2.6 s in a pool, so waiting that long costs at most twice the optimum.
 */
const switchOffAfterMs = 2_600

/**
 * An idle machine of another pool is lent after this time, in milliseconds: longer than the gap
 * between two steps of a job, and short beside the turn of a pool.
 */
const lendAfterMs = 300

/**
 * Machines that a pool keeps on. Lasting steps are some five tasks wide; on fewer machines two of
 * their tasks would share one, whose upkeep would then take more away than may be.
 */
const keptMachines = 5

/**
 * Machines that are ordered for the waiting work of a pool, as a multiple of what it fills: demand
 * still rises while they are on their way. In the simulation of turns, 1.6 serves 0.948 of the work
 * and 1.0 serves 0.920.
 */
const headroom = 1.6

/**
 * Plans which machines change their pool, for demand that goes round the pools in bursts: a pool
 * with waiting work gets idle lent machines, spare ones, then other pools' own. Those that stay idle
 * go to the spare pool, where they are off and cost nothing; a pool keeps a few for its next task.
 *
 * @example
 * for (const { machine, to } of planPoolMoves(state)) await order(machine, to)
 */
export function planPoolMoves(state: PoolMoveState): PoolMove[] {
  const { machines, pools, limit } = state
  const moves: PoolMove[] = []
  const taken = new Set<string>()
  /** Machines of each pool that are up and stay. */
  const staying = new Map(pools.map(({ name, up }) => [name, up]))
  const take = ({ id, pool }: MovableMachine, to: string): void => {
    taken.add(id)
    staying.set(pool, (staying.get(pool) ?? 0) - 1)
    moves.push({ machine: id, to })
  }
  const spare = pools.find(({ isSpare }) => isSpare)
  const needy = pools
    .map(pool => ({ pool, missing: missingMachines(pool, machines) }))
    .filter(({ missing }) => missing > 0)
    .sort((a, b) => b.missing - a.missing)
  for (const { pool, missing } of needy) {
    for (let count = 0; count < missing && moves.length < limit; count++) {
      const donor = pickDonor(state, pool, taken)
      if (donor === undefined) break
      take(donor, pool.name)
    }
  }
  if (spare === undefined) return moves
  const isNeedy = new Set(needy.map(({ pool }) => pool.name))
  for (const machine of machines) {
    const { id, pool } = machine
    if (moves.length >= limit) break
    if (taken.has(id) || pool === spare.name || isNeedy.has(pool)) continue
    if ((staying.get(pool) ?? 0) <= keptMachines) continue
    if (isIdleFor(machine, state.now, switchOffAfterMs)) take(machine, spare.name)
  }
  return moves
}

/** Machines that the waiting work of a pool calls for beyond those that are on their way. */
function missingMachines(pool: PoolLoad, machines: readonly MovableMachine[]): number {
  if (pool.isSpare) return 0
  const [sample] = machines
  if (sample === undefined) return 0
  const waiting = largestFraction(pool.waiting, sample.capacity)
  return Math.ceil(headroom * waiting) - pool.arriving
}

/**
 * An idle lent machine of another pool comes first: it is on already, and would be switched off
 * while a spare one is switched on. A pool's own machine comes last, because its turn returns.
 */
function pickDonor(
  { machines, pools, now }: PoolMoveState,
  to: PoolLoad,
  taken: ReadonlySet<string>,
): MovableMachine | undefined {
  const candidates = machines.filter(({ id, isZoneOut }) => !isZoneOut && !taken.has(id))
  const poolOf = ({ pool }: MovableMachine) => pools.find(({ name }) => name === pool)
  const mayLend = (machine: MovableMachine): boolean => {
    const pool = poolOf(machine)
    if (pool === undefined || pool.isSpare || pool.name === to.name) return false
    if (pool.up <= keptMachines || largestFraction(pool.waiting, machine.capacity) > 0) return false
    return isIdleFor(machine, now, lendAfterMs)
  }
  return (
    candidates.find(machine => machine.isLent && mayLend(machine)) ??
    candidates.find(machine => poolOf(machine)?.isSpare === true) ??
    candidates.find(mayLend)
  )
}

function isIdleFor({ idleSince }: MovableMachine, now: number, ms: number): boolean {
  return idleSince !== undefined && now - idleSince >= ms
}
