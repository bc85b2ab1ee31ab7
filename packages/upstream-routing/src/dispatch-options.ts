import type { Clock } from '@bulrushbridge/errors'
import type { UpstreamRequest } from '@bulrushbridge/upstream-link'
import type { RetryBudget } from './retry-budget.js'
import type { Reservation, Router } from './types.js'

/** The trace of one attempt. */
export interface AttemptTrace {
  /** Header for the runner. */
  traceparent: string
  /** Called once when the attempt is over, with the kind of its error. */
  end(errorKind?: string): void
}

/** A permit of the request's team beyond the one that covers its first run. */
export interface ExtraPermit {
  release(): void
}

/** Timers of the event loop, replaced in tests. */
export interface DispatchTimers {
  set(fn: () => void, delayMs: number): unknown
  clear(timer: unknown): void
}

/** Options of `dispatch`. */
export interface DispatchOptions {
  router: Router
  req: UpstreamRequest
  /** Whether the method is idempotent. */
  idempotent: boolean
  retryBudget: RetryBudget
  /** See `SendHooks` of upstream-link; called before every attempt. */
  beforeWrite?: (() => void) | undefined
  clock: Clock
  /** Called for each attempt, for traces; undefined leaves the request as it is. */
  startAttempt?: ((runner: string) => AttemptTrace | undefined) | undefined
  /**
   * Takes a permit for a second run of an idempotent request while the first may still run at
   * another runner. Without one, the second waits until the first has settled.
   */
  takePermit?: (() => ExtraPermit | undefined) | undefined
  timers?: DispatchTimers
  /** A slot taken already; otherwise one is reserved synchronously. */
  reservation?: Reservation | undefined
}
