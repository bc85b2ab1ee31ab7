import { BaseError } from './base-error.js'
import { errorTable, type ErrorAnswer, type ErrorKind } from './kinds.js'
import type { Outcome } from './outcome.js'

/** Options of {@link RequestError}. */
export interface RequestErrorOptions {
  /** What became of the request; `not-run` unless given. */
  outcome?: Outcome
  /** Replaces the table's message; must not hold a key. */
  message?: string
  /** When the caller may come back, in milliseconds from now. */
  retryAfterMs?: number
  /** The underlying error. */
  cause?: unknown
}

/**
 * An error of the closed list, as it is answered to a caller or operator.
 *
 * @example
 * throw new RequestError('queue-full', { retryAfterMs: 800 })
 */
export class RequestError extends BaseError {
  readonly kind: ErrorKind
  readonly outcome: Outcome
  readonly retryAfterMs: number | undefined

  constructor(kind: ErrorKind, opts: RequestErrorOptions = {}) {
    super(opts.message ?? errorTable[kind].message, { cause: opts.cause })
    this.name = 'RequestError'
    this.kind = kind
    this.outcome = opts.outcome ?? 'not-run'
    this.retryAfterMs = opts.retryAfterMs
  }

  /** The table's answer for this error. */
  get answer(): ErrorAnswer {
    return errorTable[this.kind]
  }
}

/**
 * Turns anything thrown into a {@link RequestError}; an unexpected error becomes `internal`.
 *
 * @example
 * const err = toRequestError(caught, 'unknown')
 */
export function toRequestError(cause: unknown, outcome: Outcome = 'unknown'): RequestError {
  return cause instanceof RequestError ? cause : new RequestError('internal', { cause, outcome })
}
