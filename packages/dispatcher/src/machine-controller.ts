import { normalizeError, systemClock } from '@bulrushbridge/errors'
import type { Machine } from '@bulrushbridge/scheduler'
import { wait } from '@bulrushbridge/store'
import { IdlePause } from './idle-pause.js'
import type { MachineContext } from './machine-context.js'
import type { MachineOrderRecord } from './machine-order-record.js'
import { PoolMoves } from './pool-moves.js'
import type { RunnerSession } from './runner-session.js'
import { WaveOrders } from './wave-orders.js'

/** Pause between two control rounds while there is something to do, in milliseconds. */
const roundPauseMs = 250

/** Least time between the starts of two rounds that follow a change of demand, in milliseconds. */
const minRoundIntervalMs = 200

/** Pause after a list of the machines that failed, in milliseconds. */
const failedListPauseMs = 400

/** Reads of the list that are made a second if the platform states no rate. */
const defaultMachineListsPerSecond = 8

/** Machines that the platform puts on one page of the list. */
const machinesPerPage = 200

/** Longest pause between two control rounds while there is nothing to do, in milliseconds. */
const idlePauseMs = 1_000

/**
 * Controls the machines in rounds: orders the upkeeps of maintenance waves, moves machines between
 * pools, and gives up the runs of unreachable or unregistered runners whose machine is not up or
 * runs another runner.
 */
export interface MachineController {
  /**
   * Begins the next round at once if the controller is idle, and soon if it is busy and a pool is shorter
   * of machines than in the last round.
   */
  wake(): void
  close(): Promise<void>
}

/**
 * Starts the machine controller.
 *
 * @example
 * const controller = createMachineController({ machines, store, fence, leaseCheck, ...rest }, record)
 */
export function createMachineController(
  ctx: MachineContext,
  record: MachineOrderRecord,
): MachineController {
  return new Controller(ctx, record)
}

class Controller implements MachineController {
  readonly #opts: MachineContext
  readonly #waves: WaveOrders
  readonly #moves: PoolMoves
  readonly #closing = new AbortController()
  readonly #loopDone: Promise<void>
  readonly #idlePause = new IdlePause()
  /** Least time between the starts of two rounds, in milliseconds. */
  #minIntervalMs = minRoundIntervalMs
  /** The last round left something to do. */
  #isBusy = false
  readonly #orderRecord: MachineOrderRecord

  constructor(ctx: MachineContext, record: MachineOrderRecord) {
    this.#opts = ctx
    this.#orderRecord = record
    this.#waves = new WaveOrders(ctx, this.#orderRecord)
    this.#moves = new PoolMoves(ctx, this.#orderRecord)
    this.#loopDone = this.#roundLoop()
  }

  wake(): void {
    if (!this.#isBusy || this.#moves.hasShortageGrown()) this.#idlePause.wake()
  }

  async close(): Promise<void> {
    this.#closing.abort()
    this.#idlePause.wake()
    await this.#loopDone
  }

  async #roundLoop(): Promise<void> {
    while (!this.#isClosed()) {
      const startedAt = performance.now()
      this.#isBusy = false
      try {
        if (!this.#opts.isInactive()) this.#isBusy = await this.#runRound()
      } catch (err) {
        this.#opts.log.warn('machine control round failed', { reason: normalizeError(err).message })
      }
      if (this.#isClosed()) return
      await this.#idlePause.wait(this.#isBusy ? roundPauseMs : idlePauseMs)
      const earlyMs = startedAt + this.#minIntervalMs - performance.now()
      if (earlyMs > 0) await wait(systemClock, earlyMs, this.#closing.signal)
    }
  }

  #isClosed(): boolean {
    return this.#closing.signal.aborted
  }

  /** Each page of a list counts against the rate that the platform states; half of it is used. */
  #intervalFor(machineCount: number): number {
    const { machineListsPerSecond = defaultMachineListsPerSecond } = this.#opts
    const pages = Math.max(1, Math.ceil(machineCount / machinesPerPage))
    return Math.max(minRoundIntervalMs, (pages * 2_000) / machineListsPerSecond)
  }

  /** Runs one round; returns whether the next one should follow soon. */
  async #runRound(): Promise<boolean> {
    const waves = await this.#waves.incompleteWaves()
    // Runners that cannot be reached or are not registered, and may still run something.
    const lostRunners = [...this.#opts.sessions.values()].filter(
      ({ unreachableSince, isRegistered, allocations }) =>
        allocations.size > 0 && (unreachableSince !== undefined || !isRegistered),
    )
    const listRequestedAt = performance.now()
    const result = await this.#opts.machines.list()
    if (result.outcome !== 'done') {
      this.#opts.log.warn('listing the machines failed', { reason: result.reason })
      this.#minIntervalMs = failedListPauseMs
      return true
    }
    this.#minIntervalMs = this.#intervalFor(result.value.length)
    if (this.#opts.isInactive()) return true
    this.#giveUpLostRunners(lostRunners, result.value, listRequestedAt)
    for (const wave of waves) {
      await this.#waves.advance(wave, result.value, listRequestedAt, id => this.#moves.isMoving(id))
    }
    await this.#moves.advance(result.value, listRequestedAt, this.#waves)
    await this.#orderRecord.removeOutdated()
    await this.#opts.demand.storeIfDue()
    return waves.length + lostRunners.length > 0 || this.#moves.isBusy
  }

  /**
   * Gives up the runs of lost runners (unreachable or unregistered) whose machine, by the
   * platform's list, is not up or runs another runner. A runner that answers polls is there whatever
   * the list shows, which may be old; one that became unreachable only after the list was requested
   * is left for the next round.
   */
  #giveUpLostRunners(
    missing: readonly RunnerSession[],
    machines: readonly Machine[],
    listRequestedAt: number,
  ): void {
    const runnersOnUpMachines = new Set(
      machines.flatMap(({ state, runnerId }) =>
        state === 'up' && runnerId !== undefined ? [runnerId] : [],
      ),
    )
    for (const session of missing) {
      const { unreachableSince: since, answeredPollSentAt } = session
      const isAnswering = answeredPollSentAt !== undefined && since === undefined
      if (isAnswering || (since ?? 0) > listRequestedAt || runnersOnUpMachines.has(session.id))
        continue
      this.#opts.log.info('runner given up, no machine that is up runs it', {
        runner: session.id,
        runs: session.allocations.size,
        unreachableMs: since === undefined ? undefined : Math.round(performance.now() - since),
        listTookMs: Math.round(performance.now() - listRequestedAt),
      })
      session.markMachineUnavailable(listRequestedAt)
    }
  }
}
