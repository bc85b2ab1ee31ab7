import type { UpstreamRequest } from '@bulrushbridge/upstream-link'
import { Readable } from 'node:stream'
import type { DispatchOptions, DispatchTimers } from './dispatch-options.js'
import type { Runs } from './runs.js'
import type { Reservation } from './types.js'

const systemTimers: DispatchTimers = {
  set: (fn, delayMs) => setTimeout(fn, delayMs),
  clear: timer => {
    clearTimeout(timer as NodeJS.Timeout)
  },
}

/** Work times of the pool that must be left for a second run. */
const repeatReserve = 1.5

/**
 * Moves an idempotent request to another runner while there is time: when its trial takes too long,
 * or when its runner is ejected before the answer has begun. The first run is abandoned only once
 * the slot and the permit of the second are there.
 */
export class Move {
  /** The slot of the second run. */
  next: Reservation | undefined
  #giveUp: (() => void) | undefined
  #timer: unknown
  #isOver = false

  constructor(
    private readonly opts: DispatchOptions,
    private readonly from: Reservation,
    private readonly tried: ReadonlySet<string>,
    private readonly runs: Runs,
  ) {}

  /** Watches the attempt, which `giveUp` ends. */
  arm(req: UpstreamRequest, giveUp: () => void): void {
    const isPossible = this.opts.idempotent && this.opts.takePermit !== undefined
    if (!isPossible || req.body instanceof Readable) return
    this.#giveUp = giveUp
    const { trialLimitMs } = this.from
    if (trialLimitMs !== undefined) {
      this.#timer = (this.opts.timers ?? systemTimers).set(() => {
        this.#try(true)
      }, trialLimitMs)
    }
    this.from.onEjected(() => {
      this.#try(false)
    })
  }

  /** A trial is not counted as a retry: it is rare, and it was the router's choice. */
  #try(isTrial: boolean): void {
    const { router, clock, req, retryBudget, takePermit } = this.opts
    const leftMs = req.deadline - clock.now()
    if (this.#isOver || leftMs < (router.medianMs() ?? 0) * repeatReserve) return
    const permit = takePermit?.()
    if (!permit) return
    const next =
      isTrial || retryBudget.tryRetry()
        ? router.reserve({ exclude: this.tried, idempotent: true, trial: false, overfill: true })
        : undefined
    if (!next) {
      permit.release()
      return
    }
    this.end()
    this.runs.hold(permit)
    this.next = next
    this.#giveUp?.()
  }

  /** The answer has begun, or the attempt is over. */
  end(): void {
    this.#isOver = true
    if (this.#timer !== undefined) (this.opts.timers ?? systemTimers).clear(this.#timer)
    this.#timer = undefined
  }
}
