import { largestFraction, type Amounts } from './amounts.js'

/** A machine that may move to another pool, as input of {@link planPoolMoves}. */
export interface MovableMachine {
  id: string
  pool: string
  capacity: Amounts
  /**
   * A move brought it into its pool, from a spare pool or from another one. It stays lent until it
   * arrives in a spare pool.
   */
  isLent: boolean
  /** Operators have withdrawn its availability zone, so nothing new starts on it. */
  isZoneWithdrawn: boolean
  /** Time since which nothing has run on it; undefined while something may be running. */
  idleSince: number | undefined
  /** Its rack has crashed or its runner does not answer, so it neither works nor moves. */
  isLost?: boolean
}

/**
 * Demand and size of a pool, as input of {@link planPoolMoves}. Without `expected`, the pool is judged
 * by the work that waits, and the other optional fields are not used.
 */
export interface PoolLoad {
  name: string
  isSpare: boolean
  /** Total resources of the tasks that could start now but found no free capacity. */
  waiting: Amounts
  /** Number of machines on their way into the pool. */
  arrivingCount: number
  /** Number of machines that are up in the pool. */
  upCount: number
  /**
   * Number of machines of the pool that can run tasks, without those of a crashed rack; `upCount` if
   * absent.
   */
  usableCount?: number
  /** Resources that finite work is expected to use when a machine ordered now would arrive. */
  expected?: Amounts
  /**
   * Most resources that finite work is expected to use at any time until a machine that is switched
   * off now and ordered back at once would have paid off; `expected` if absent.
   */
  expectedPeak?: Amounts
  /** Resources that lasting tasks use on the machines of the pool; none if absent. */
  lasting?: Amounts
  /** Resources that finite tasks use on the machines of the pool; none if absent. */
  running?: Amounts
  /** The part of `running` that will have ended when a machine ordered now would arrive. */
  ending?: Amounts
}

/** Input of {@link planPoolMoves}. */
export interface PoolMoveInput {
  machines: readonly MovableMachine[]
  pools: readonly PoolLoad[]
  now: number
  /** Maximum number of moves. */
  maxMoves: number
}

/** A machine and the pool that it is to join. */
export interface PoolMove {
  machine: string
  to: string
}

/**
 * Time for which a machine must be idle before it is switched off, in milliseconds. Switching a
 * machine off and on again takes two moves, which cost as much as keeping it on for 2.6 s. Waiting
 * for that long costs at most twice as much as if the next demand were known in advance (the ski
 * rental rule).
 */
const switchOffAfterMs = 2_600

/**
 * Time for which a machine must be idle before another pool may get it, in milliseconds. It is
 * longer than the gap between two steps of a job, and short compared with a burst of demand.
 */
const donateAfterMs = 300

/**
 * Number of machines that a pool keeps. Lasting steps are taken to have about five tasks; on fewer
 * machines two of them would share one, whose upkeep would then stop more tasks than may be
 * unavailable at once.
 */
const minPoolMachines = 5

/**
 * Number of machines ordered for the waiting work of a pool, as a multiple of those that the work
 * would fill, because demand still rises while they are on their way. In the simulation
 * `__tests__/demand-bursts.ts`, the jobs earn 0.948 of the possible credit with 1.6, and 0.920 with
 * 1.0; late jobs earn little or none.
 */
const overprovisionFactor = 1.6

/**
 * Plans which machines change their pool when bursts of demand reach one pool after another. A pool
 * with waiting work gets idle lent machines of other pools first, then spare ones, then idle
 * machines of other pools that are not lent. Machines that stay idle, lent or not, go to the spare
 * pool, where they are off and cost nothing; each pool keeps {@link minPoolMachines}.
 *
 * @example
 * for (const { machine, to } of planPoolMoves(input)) await order(machine, to)
 */
export function planPoolMoves(input: PoolMoveInput): PoolMove[] {
  const { machines, pools, maxMoves } = input
  const moves: PoolMove[] = []
  const movedIds = new Set<string>()
  /** Number of machines that are up in each pool and are not planned to move. */
  const remaining = new Map(pools.map(({ name, upCount }) => [name, upCount]))
  const addMove = ({ id, pool }: MovableMachine, to: string): void => {
    movedIds.add(id)
    remaining.set(pool, (remaining.get(pool) ?? 0) - 1)
    moves.push({ machine: id, to })
  }
  const spare = pools.find(({ isSpare }) => isSpare)
  const shortPools = pools
    .map(pool => ({ pool, shortage: machineShortage(pool, machines) }))
    .filter(({ shortage }) => shortage > 0)
    .sort((a, b) => b.shortage - a.shortage)
  for (const { pool, shortage } of shortPools) {
    for (let count = 0; count < shortage && moves.length < maxMoves; count++) {
      const donor = chooseDonor(input, pool, movedIds)
      if (donor === undefined) break
      addMove(donor, pool.name)
    }
  }
  if (spare === undefined) return moves
  const shortNames = new Set(shortPools.map(({ pool }) => pool.name))
  for (const machine of machines) {
    const { id, pool } = machine
    if (moves.length >= maxMoves) break
    if (movedIds.has(id) || pool === spare.name || shortNames.has(pool)) continue
    if ((remaining.get(pool) ?? 0) <= minPoolMachines) continue
    if (isIdleFor(machine, input.now, switchOffAfterMs)) addMove(machine, spare.name)
  }
  return moves
}

/**
 * Number of machines that the waiting work of a pool needs beyond those on their way. All machines
 * are taken to be as large as the first one.
 */
function machineShortage(pool: PoolLoad, machines: readonly MovableMachine[]): number {
  if (pool.isSpare) return 0
  const [sample] = machines
  if (sample === undefined) return 0
  const waiting = largestFraction(pool.waiting, sample.capacity)
  return Math.ceil(overprovisionFactor * waiting) - pool.arrivingCount
}

/**
 * Chooses the machine that a pool gets next. An idle lent machine of another pool comes first;
 * otherwise it would be switched off while a spare one is switched on. A machine of another pool
 * that is not lent comes last, because that pool will need it in its next burst.
 */
function chooseDonor(
  { machines, pools, now }: PoolMoveInput,
  to: PoolLoad,
  movedIds: ReadonlySet<string>,
): MovableMachine | undefined {
  const candidates = machines.filter(
    ({ id, isZoneWithdrawn }) => !isZoneWithdrawn && !movedIds.has(id),
  )
  const poolOf = ({ pool }: MovableMachine) => pools.find(({ name }) => name === pool)
  const canDonate = (machine: MovableMachine): boolean => {
    const pool = poolOf(machine)
    if (pool === undefined || pool.isSpare || pool.name === to.name) return false
    if (pool.upCount <= minPoolMachines || largestFraction(pool.waiting, machine.capacity) > 0)
      return false
    return isIdleFor(machine, now, donateAfterMs)
  }
  return (
    candidates.find(machine => machine.isLent && canDonate(machine)) ??
    candidates.find(machine => poolOf(machine)?.isSpare === true) ??
    candidates.find(canDonate)
  )
}

function isIdleFor({ idleSince }: MovableMachine, now: number, ms: number): boolean {
  return idleSince !== undefined && now - idleSince >= ms
}
