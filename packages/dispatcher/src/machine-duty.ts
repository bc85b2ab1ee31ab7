import { normalizeError, systemClock } from '@bulrushbridge/errors'
import type { Machine } from '@bulrushbridge/scheduler'
import { wait } from '@bulrushbridge/store'
import { IdlePause } from './idle-pause.js'
import type { MachineContext } from './machine-context.js'
import { OrderRecord } from './order-record.js'
import { PoolMoves } from './pool-moves.js'
import type { RunnerSession } from './runner-session.js'
import { WaveOrders } from './wave-orders.js'

/** Pause between two rounds while there is work for the duty, in milliseconds. */
const roundPauseMs = 250

/** Pause between two rounds while there is none, in milliseconds. */
const idlePauseMs = 1_000

/** Sees to the machines: their upkeep in waves, their pools, and runners that are lost. */
export interface MachineDuty {
  /** Begins the next round now if nothing was to be done until later. */
  wake(): void
  close(): Promise<void>
}

/**
 * Starts the duty for the machines.
 *
 * @example
 * const duty = createMachineDuty({ machines, store, holder, fence, check, ...rest })
 */
export function createMachineDuty(ctx: MachineContext): MachineDuty {
  return new Duty(ctx)
}

class Duty implements MachineDuty {
  readonly #opts: MachineContext
  readonly #waves: WaveOrders
  readonly #moves: PoolMoves
  readonly #closing = new AbortController()
  readonly #running: Promise<void>
  readonly #idlePause = new IdlePause()
  readonly #record: OrderRecord

  constructor(ctx: MachineContext) {
    this.#opts = ctx
    this.#record = new OrderRecord(ctx)
    this.#waves = new WaveOrders(ctx, this.#record)
    this.#moves = new PoolMoves(ctx, this.#record)
    this.#running = this.#run()
  }

  wake(): void {
    this.#idlePause.wake()
  }

  async close(): Promise<void> {
    this.#closing.abort()
    this.wake()
    await this.#running
  }

  async #run(): Promise<void> {
    while (!this.#isClosed()) {
      let isBusy = false
      try {
        if (!this.#opts.isSuspended()) isBusy = await this.#round()
      } catch (err) {
        this.#opts.log.warn('round of the machines failed', { reason: normalizeError(err).message })
      }
      if (isBusy) await wait(systemClock, roundPauseMs, this.#closing.signal)
      else if (!this.#isClosed()) await this.#idlePause.wait(idlePauseMs)
    }
  }

  #isClosed(): boolean {
    return this.#closing.signal.aborted
  }

  /** One round; returns whether the next one is to follow soon. */
  async #round(): Promise<boolean> {
    await this.#record.load()
    const waves = await this.#waves.open()
    const suspects = [...this.#opts.sessions.values()].filter(
      ({ suspectSince, isRegistered, occupants }) =>
        occupants.size > 0 && (suspectSince !== undefined || !isRegistered),
    )
    const sentAt = performance.now()
    const result = await this.#opts.machines.list()
    if (result.outcome !== 'done') {
      this.#opts.log.warn('machines not listed', { reason: result.reason })
      return true
    }
    this.#settleSuspects(suspects, result.value, sentAt)
    for (const wave of waves) await this.#waves.advance(wave, result.value, sentAt)
    await this.#moves.advance(result.value, this.#waves)
    await this.#record.prune()
    return waves.length + suspects.length > 0 || this.#moves.isBusy
  }

  /** The list shows that the machine of a lost runner is down or runs another runner. */
  #settleSuspects(
    suspects: readonly RunnerSession[],
    machines: readonly Machine[],
    sentAt: number,
  ): void {
    const present = new Set(
      machines.flatMap(({ state, runnerId }) =>
        state === 'up' && runnerId !== undefined ? [runnerId] : [],
      ),
    )
    for (const session of suspects) {
      const since = session.suspectSince
      if ((since !== undefined && since > sentAt) || present.has(session.id)) continue
      this.#opts.log.info('machine of a lost runner is gone', { runner: session.id })
      session.declareGone()
    }
  }
}
