import type { UpstreamRequest } from '@bulrushbridge/upstream-link'
import { Readable } from 'node:stream'
import type { DispatchOptions, DispatchTimers } from './dispatch-options.js'
import type { RequestRuns } from './request-runs.js'
import type { Reservation } from './types.js'

const systemTimers: DispatchTimers = {
  set: (fn, delayMs) => setTimeout(fn, delayMs),
  clear: timer => {
    clearTimeout(timer as NodeJS.Timeout)
  },
}

/** Median latencies of the pool that must remain until the deadline for a second run. */
const minMediansLeft = 1.5

/**
 * Moves an idempotent request to another runner if enough time remains: when its trial takes too
 * long, or when its runner is ejected before the response has started. The first run is aborted
 * only after the slot and the permit of the second one have been reserved.
 */
export class Failover {
  /** The slot of the second run, once the request has been moved. */
  nextReservation: Reservation | undefined
  #abortRequest: (() => void) | undefined
  #timer: unknown
  #isStopped = false

  constructor(
    private readonly opts: DispatchOptions,
    private readonly current: Reservation,
    private readonly tried: ReadonlySet<string>,
    private readonly runs: RequestRuns,
  ) {}

  /** Watches the attempt, which `abortRequest` aborts. */
  watch(req: UpstreamRequest, abortRequest: () => void): void {
    const canFailOver = this.opts.idempotent && this.opts.takePermit !== undefined
    if (!canFailOver || req.body instanceof Readable) return
    this.#abortRequest = abortRequest
    const { trialLimitMs } = this.current
    if (trialLimitMs !== undefined) {
      this.#timer = (this.opts.timers ?? systemTimers).set(() => {
        this.#failOver(true)
      }, trialLimitMs)
    }
    this.current.onEjected(() => {
      this.#failOver(false)
    })
  }

  /**
   * A failover from a trial is not counted as a retry: trials are rare and chosen by the router.
   */
  #failOver(isTrial: boolean): void {
    const { router, clock, req, retryBudget, takePermit } = this.opts
    const remainingMs = req.deadline - clock.now()
    if (this.#isStopped || remainingMs < (router.poolMedianMs() ?? 0) * minMediansLeft) return
    const permit = takePermit?.()
    if (!permit) return
    const nextReservation =
      isTrial || retryBudget.tryTakeRetry()
        ? router.reserve({
            exclude: this.tried,
            idempotent: true,
            canBeTrial: false,
            canExceedSlots: true,
          })
        : undefined
    if (!nextReservation) {
      permit.release()
      return
    }
    this.stop()
    this.runs.keepPermit(permit)
    this.nextReservation = nextReservation
    this.#abortRequest?.()
  }

  /** Stops watching, because the response has started or the attempt has ended. */
  stop(): void {
    this.#isStopped = true
    if (this.#timer !== undefined) (this.opts.timers ?? systemTimers).clear(this.#timer)
    this.#timer = undefined
  }
}
