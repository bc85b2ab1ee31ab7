import type { Clock } from '@bulrushbridge/errors'
import type { UpstreamRequest } from '@bulrushbridge/upstream-link'
import type { RetryBudget } from './retry-budget.js'
import type { Reservation, Router } from './types.js'

/** The trace span of one attempt. */
export interface AttemptTrace {
  /** Value of the `traceparent` header that the runner gets. */
  traceparent: string
  /** Called once when the attempt has ended, with the kind of its error if it failed. */
  end(errorKind?: string): void
}

/** A permit of the request's team in addition to the one that covers its first run. */
export interface ExtraPermit {
  release(): void
}

/** Timers, which tests can replace. */
export interface DispatchTimers {
  set(fn: () => void, delayMs: number): unknown
  clear(timer: unknown): void
}

/** Options of `dispatch`. */
export interface DispatchOptions {
  router: Router
  req: UpstreamRequest
  /** Whether the request may be repeated after it has run. */
  idempotent: boolean
  retryBudget: RetryBudget
  /** Called before every attempt; see `SendHooks` of upstream-link. */
  beforeWrite?: (() => void) | undefined
  clock: Clock
  /** Starts the trace span of an attempt at a runner; undefined when the attempt is not traced. */
  startAttemptTrace?: ((runner: string) => AttemptTrace | undefined) | undefined
  /**
   * Takes a permit for a second run of an idempotent request while the first may still run at
   * another runner. When it returns undefined, the second run waits until the first has settled.
   */
  takePermit?: (() => ExtraPermit | undefined) | undefined
  timers?: DispatchTimers
  /** A slot that is already reserved; without it, `dispatch` reserves one synchronously. */
  reservation?: Reservation | undefined
}
