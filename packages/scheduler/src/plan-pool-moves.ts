import { largestFraction, type Amounts } from './amounts.js'

/** A machine as the plan of moves sees it. */
export interface MovableMachine {
  id: string
  pool: string
  capacity: Amounts
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
 * An idle machine of a pool without waiting work is switched off after this time, in milliseconds.
 * Two moves cost as much as 2.6 s in a pool, so waiting that long costs at most twice the optimum.
 */
const switchOffAfterMs = 2_600

/** An idle machine of another pool is lent after this time, in milliseconds. */
const lendAfterMs = 1_000

/** Machines that a pool keeps, so that its next task starts at once. */
const keptMachines = 1

/**
 * Waiting work that the machines of a pool will have taken up before others could arrive, as a
 * share of their room: tasks take about a second, and so does a move.
 */
const absorbedShare = 0.4

/**
 * Plans which machines change their pool, for demand that goes round the pools in bursts: a pool
 * with waiting work gets spare machines, then idle ones of other pools; machines that stay idle go
 * back to the spare pool, where they are off and cost nothing.
 *
 * @example
 * for (const { machine, to } of planPoolMoves(state)) await order(machine, to)
 */
export function planPoolMoves(state: PoolMoveState): PoolMove[] {
  const { machines, pools, limit } = state
  const moves: PoolMove[] = []
  const taken = new Set<string>()
  const spare = pools.find(({ isSpare }) => isSpare)
  const needy = pools
    .map(pool => ({ pool, missing: missingMachines(pool, machines) }))
    .filter(({ missing }) => missing > 0)
    .sort((a, b) => b.missing - a.missing)
  for (const { pool, missing } of needy) {
    for (let count = 0; count < missing && moves.length < limit; count++) {
      const donor = pickDonor(state, pool, taken)
      if (donor === undefined) break
      taken.add(donor.id)
      moves.push({ machine: donor.id, to: pool.name })
    }
  }
  if (spare === undefined) return moves
  const left = new Map(pools.map(({ name, up }) => [name, up]))
  const isNeedy = new Set(needy.map(({ pool }) => pool.name))
  for (const machine of machines) {
    const pool = pools.find(({ name }) => name === machine.pool)
    if (pool === undefined || pool.isSpare || isNeedy.has(pool.name)) continue
    if (taken.has(machine.id) || moves.length >= limit) continue
    const up = left.get(pool.name) ?? 0
    if (!isIdleFor(machine, state.now, switchOffAfterMs) || up <= keptMachines) continue
    left.set(pool.name, up - 1)
    moves.push({ machine: machine.id, to: spare.name })
  }
  return moves
}

/** Machines that the waiting work of a pool calls for beyond those that are on their way. */
function missingMachines(pool: PoolLoad, machines: readonly MovableMachine[]): number {
  if (pool.isSpare) return 0
  const [sample] = machines
  if (sample === undefined) return 0
  const waiting = largestFraction(pool.waiting, sample.capacity)
  return Math.ceil(waiting - absorbedShare * pool.up) - pool.arriving
}

function pickDonor(
  { machines, pools, now }: PoolMoveState,
  to: PoolLoad,
  taken: ReadonlySet<string>,
): MovableMachine | undefined {
  const candidates = machines.filter(({ id, pool }) => !taken.has(id) && pool !== to.name)
  const isSpare = (name: string) => pools.some(pool => pool.name === name && pool.isSpare)
  const fromSpare = candidates.find(({ pool }) => isSpare(pool))
  if (fromSpare !== undefined) return fromSpare
  return candidates.find(machine => {
    const pool = pools.find(({ name }) => name === machine.pool)
    if (pool === undefined || pool.up <= keptMachines) return false
    return (
      largestFraction(pool.waiting, machine.capacity) === 0 && isIdleFor(machine, now, lendAfterMs)
    )
  })
}

function isIdleFor({ idleSince }: MovableMachine, now: number, ms: number): boolean {
  return idleSince !== undefined && now - idleSince >= ms
}
