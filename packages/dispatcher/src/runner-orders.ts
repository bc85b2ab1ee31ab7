import { systemClock } from '@bulrushbridge/errors'
import type { CallResult, OrderAnswer, RunnerApi } from '@bulrushbridge/scheduler'
import { wait } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'
import type { Occupant } from './occupant.js'

/** Pause before a start without a known result is repeated, in milliseconds. */
const startRetryPauseMs = 60

/** Pause before a stop without a known result is repeated, in milliseconds. */
const stopRetryPauseMs = 150

/** Attempts of a start before it is taken back by a stop. */
const startAttempts = 3

/** The runner that orders go to, as its session knows it. */
export interface OrderTarget {
  readonly runnerId: string
  readonly fence: number
  readonly closing: AbortSignal
  readonly log: Logger
  /** Undefined while the runner's address is not known. */
  api(): RunnerApi | undefined
  /** Deadline of the lease that a start carries; undefined before the runner's clock is known. */
  leaseDeadline(): number | undefined
  observeClock(clockMs: number): void
  isPresent(occupant: Occupant): boolean
  /** The run did not start and never will. */
  notStarted(occupant: Occupant): void
  suspect(reason: string): void
  /** The next look is to follow soon, and to acknowledge nothing. */
  lookSoon(): void
  onConfirmed(occupant: Occupant): void
  onFenced(): void
}

/** Orders to one runner; lost answers are settled. */
export class RunnerOrders {
  readonly #target: OrderTarget

  constructor(target: OrderTarget) {
    this.#target = target
  }

  /** Orders a recorded run, and settles a lost answer. */
  async start(occupant: Occupant, payload: string, ticket: string | undefined): Promise<void> {
    const { task } = occupant
    if (task === undefined) return
    occupant.state = 'ordered'
    occupant.orderedAt = performance.now()
    for (let attempt = 1; attempt <= startAttempts; attempt++) {
      const leaseDeadline = this.#target.leaseDeadline()
      const api = this.#target.api()
      if (api === undefined || leaseDeadline === undefined) break
      const result = await api.start({
        task: occupant.name,
        run: occupant.run,
        payload,
        checkpoint: task.checkpoint,
        ticket,
        fence: this.#target.fence,
        leaseDeadline,
      })
      if (!this.#target.isPresent(occupant)) return
      this.#observeClock(result)
      if (result.outcome === 'done') {
        this.#started(occupant, result.value, attempt)
        return
      }
      this.#logOrder('start', occupant, result.reason)
      if (result.outcome === 'not-done' && attempt === 1) break
      await this.#pause(startRetryPauseMs)
      if (!this.#target.isPresent(occupant)) return
      if (attempt === startAttempts) {
        void this.stop(occupant)
        return
      }
    }
    // Nothing reached the runner.
    this.#target.suspect('order failed')
    this.#target.notStarted(occupant)
  }

  /** Orders a run to stop and repeats the order until it is answered or the run is over. */
  async stop(occupant: Occupant): Promise<void> {
    if (occupant.state === 'stopping') return
    occupant.state = 'stopping'
    while (this.#target.isPresent(occupant) && !this.#target.closing.aborted) {
      const api = this.#target.api()
      if (api === undefined) return
      const { name: task, run } = occupant
      const result = await api.stop({ task, run, fence: this.#target.fence })
      this.#observeClock(result)
      if (result.outcome === 'done') {
        if (result.value.refusal === 'fence') this.#target.onFenced()
        // From now on the runner lists the end, or the run is not there and never will be.
        else occupant.confirmedAt ??= performance.now()
        this.#target.lookSoon()
        return
      }
      this.#logOrder('stop', occupant, result.reason)
      await this.#pause(stopRetryPauseMs)
    }
  }

  /** Lets a run work at a share of its time, in percent. */
  async pace(occupant: Occupant, percent: number): Promise<void> {
    const api = this.#target.api()
    if (api === undefined) return
    const { name: task, run } = occupant
    const before = occupant.pacedTo
    occupant.pacedTo = percent
    const result = await api.pace({ task, run, fence: this.#target.fence, percent })
    if (result.outcome === 'done' && result.value.refusal === undefined) return
    occupant.pacedTo = before
    this.#logOrder('pace', occupant, result.outcome === 'done' ? 'refused' : result.reason)
  }

  #started(occupant: Occupant, { refusal }: OrderAnswer, attempt: number): void {
    if (refusal === undefined || (refusal === 'old' && attempt > 1)) {
      // After a lost answer, `old` says that the first order was carried out and the run has ended.
      if (occupant.state === 'ordered') occupant.state = 'present'
      if (occupant.confirmedAt === undefined) {
        occupant.confirmedAt = performance.now()
        this.#target.onConfirmed(occupant)
      }
      return
    }
    this.#logOrder('start', occupant, refusal)
    if (refusal === 'fence') this.#target.onFenced()
    if (refusal === 'room' || refusal === 'late') this.#target.lookSoon()
    this.#target.notStarted(occupant)
  }

  #observeClock(result: CallResult<OrderAnswer>): void {
    if (result.outcome !== 'done' || result.value.clockMs === undefined) return
    this.#target.observeClock(result.value.clockMs)
  }

  #logOrder(order: string, occupant: Occupant, reason: string): void {
    const { name, run } = occupant
    const { runnerId: runner, log } = this.#target
    log.info('order not carried out', { order, runner, task: name, run, reason })
  }

  #pause(ms: number): Promise<void> {
    return wait(systemClock, ms, this.#target.closing)
  }
}
