import { addAmounts, largestFraction, noAmounts, type Amounts } from './amounts.js'

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
  /** It is due for an upkeep, which would end its work in the new pool soon. */
  isUpkeepDue?: boolean
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
 * The same time for a machine that its pool does not need by its forecast, in milliseconds. The gap
 * between two steps of a job matters less there, as other machines have room for the next step.
 */
const donateSurplusAfterMs = 50

/**
 * Number of machines that a pool keeps. Lasting steps are taken to have about five tasks; on fewer
 * machines two of them would share one, whose upkeep would then stop more tasks than may be
 * unavailable at once.
 */
const minPoolMachines = 5

/**
 * Number of machines ordered for the waiting work of a pool without a forecast, as a multiple of
 * those that the work would fill, because demand still rises while they are on their way. In the
 * simulation `__tests__/demand-bursts.ts`, the jobs earn 0.948 of the possible credit with 1.6, and
 * 0.920 with 1.0; late jobs earn little or none.
 */
const overprovisionFactor = 1.6

/**
 * Plans which machines change their pool when bursts of demand reach one pool after another. A pool
 * that will be short when a machine ordered now arrives gets idle machines that their own pool does
 * not need: first lent ones, then those of pools whose burst has ended by the forecast, then spare
 * ones, then other idle machines. Machines that stay idle, lent or not, go to the spare pool, where
 * they are off and cost nothing; each pool keeps {@link minPoolMachines}.
 *
 * @example
 * for (const { machine, to } of planPoolMoves(input)) await order(machine, to)
 */
export function planPoolMoves(input: PoolMoveInput): PoolMove[] {
  return new MovePlan(input).plan()
}

class MovePlan {
  readonly #input: PoolMoveInput
  readonly #pools: ReadonlyMap<string, PoolLoad>
  readonly #moves: PoolMove[] = []
  readonly #movedIds = new Set<string>()
  /** Number of machines that each pool may still give away. */
  readonly #givable = new Map<string, number>()
  readonly #machineSize: Amounts | undefined

  constructor(input: PoolMoveInput) {
    this.#input = input
    this.#pools = new Map(input.pools.map(pool => [pool.name, pool]))
    // All machines are taken to be as large as the first one.
    this.#machineSize = input.machines[0]?.capacity
    for (const pool of input.pools) this.#givable.set(pool.name, this.#givableCount(pool))
  }

  plan(): PoolMove[] {
    const { pools, machines, maxMoves } = this.#input
    const shortPools = pools
      .map(pool => ({ pool, shortage: this.#shortageOf(pool) }))
      .filter(({ shortage }) => shortage > 0)
      .sort((a, b) => b.shortage - a.shortage)
    for (const { pool } of shortPools) this.#givable.set(pool.name, 0)
    for (const { pool, shortage } of shortPools) {
      for (let count = 0; count < shortage && this.#moves.length < maxMoves; count++) {
        const donor = this.#chooseDonor(pool)
        if (donor === undefined) break
        this.#addMove(donor, pool.name)
      }
    }
    const spare = pools.find(({ isSpare }) => isSpare)
    if (spare === undefined) return this.#moves
    const shortNames = new Set(shortPools.map(({ pool }) => pool.name))
    for (const machine of machines) {
      if (this.#moves.length >= maxMoves) break
      const isCandidate = machine.pool !== spare.name && !shortNames.has(machine.pool)
      if (isCandidate && this.#canLeave(machine) && this.#isIdleFor(machine, switchOffAfterMs))
        this.#addMove(machine, spare.name)
    }
    return this.#moves
  }

  #addMove({ id, pool }: MovableMachine, to: string): void {
    this.#movedIds.add(id)
    this.#givable.set(pool, (this.#givable.get(pool) ?? 0) - 1)
    this.#moves.push({ machine: id, to })
  }

  /** Number of machines that fill a pool, in fractions of a machine. */
  #machinesFor(...amounts: (Amounts | undefined)[]): number {
    const sum = { ...noAmounts }
    for (const each of amounts) if (each !== undefined) addAmounts(sum, each)
    return this.#machineSize === undefined ? 0 : largestFraction(sum, this.#machineSize)
  }

  /** Number of machines that a pool needs beyond those that it has and those on their way. */
  #shortageOf(pool: PoolLoad): number {
    const { waiting, arrivingCount, expected } = pool
    if (pool.isSpare) return 0
    const waitingMachines = this.#machinesFor(waiting)
    if (expected === undefined)
      return Math.ceil(overprovisionFactor * waitingMachines) - arrivingCount
    const usable = usableCountOf(pool)
    const needed = this.#neededMachines(pool, expected)
    // A task may need a machine of its own, for example a lasting one, however empty the pool is.
    const least = waitingMachines > 0 ? 1 - arrivingCount : 0
    return Math.max(Math.ceil(needed) - usable - arrivingCount, least)
  }

  /**
   * Number of machines that a pool needs for its lasting tasks, for what its forecast expects, and for
   * what stands already and will not have ended. Part of the waiting work is expected too; if it waits
   * in spite of that, the pool has a backlog or the forecast is too low.
   */
  #neededMachines({ waiting, lasting, running, ending }: PoolLoad, expected: Amounts): number {
    const standing = this.#machinesFor(running, waiting) - this.#machinesFor(ending)
    return this.#machinesFor(lasting) + this.#machinesFor(expected) + Math.max(0, standing)
  }

  #givableCount(pool: PoolLoad): number {
    if (pool.isSpare) return Number.POSITIVE_INFINITY
    const kept = Math.max(minPoolMachines, this.#keptCount(pool))
    return usableCountOf(pool) - kept
  }

  /** Number of machines that the forecast of a pool needs until a machine switched off pays off. */
  #keptCount(pool: PoolLoad): number {
    const peak = pool.expectedPeak ?? pool.expected
    return peak === undefined ? 0 : Math.ceil(this.#neededMachines(pool, peak))
  }

  /**
   * Chooses the machine that a pool gets next. An idle lent machine of another pool comes first;
   * otherwise it would be switched off while a spare one is switched on. So would an idle machine of
   * a pool whose burst has ended. An idle machine of a pool without a forecast that is not lent comes
   * last, because that pool will need it in its next burst.
   */
  #chooseDonor(to: PoolLoad): MovableMachine | undefined {
    const isSpare = ({ pool }: MovableMachine) => this.#pools.get(pool)?.isSpare === true
    const canGive = (machine: MovableMachine) =>
      machine.pool !== to.name && this.#canDonate(machine)
    const candidates = this.#input.machines
      .filter(machine => !machine.isZoneWithdrawn && this.#canLeave(machine))
      // An upkeep would take the machine away again soon.
      .sort((a, b) => Number(a.isUpkeepDue === true) - Number(b.isUpkeepDue === true))
    return (
      candidates.find(machine => machine.isLent && canGive(machine)) ??
      candidates.find(machine => this.#hasForecast(machine.pool) && canGive(machine)) ??
      candidates.find(isSpare) ??
      candidates.find(canGive)
    )
  }

  #canDonate(machine: MovableMachine): boolean {
    const pool = this.#pools.get(machine.pool)
    if (pool === undefined || pool.isSpare) return false
    if (this.#machinesFor(pool.waiting) > 0) return false
    return this.#isIdleFor(
      machine,
      this.#hasForecast(pool.name) ? donateSurplusAfterMs : donateAfterMs,
    )
  }

  /** Whether a machine can move at all and its pool keeps enough others. */
  #canLeave({ id, pool, isLost }: MovableMachine): boolean {
    if (isLost === true || this.#movedIds.has(id)) return false
    return (this.#givable.get(pool) ?? 0) > 0
  }

  #hasForecast(pool: string): boolean {
    return this.#pools.get(pool)?.expected !== undefined
  }

  #isIdleFor({ idleSince }: MovableMachine, ms: number): boolean {
    return idleSince !== undefined && this.#input.now - idleSince >= ms
  }
}

function usableCountOf({ usableCount, upCount }: PoolLoad): number {
  return usableCount ?? upCount
}
