import { BaseError } from './base-error.js'
import { errorResponses, type ErrorResponse, type ErrorKind } from './error-kinds.js'
import type { Outcome } from './outcome.js'

/** Options of {@link RequestError}. */
export interface RequestErrorOptions {
  /** Outcome of the request; `not-run` by default. */
  outcome?: Outcome
  /** Replaces the message of {@link errorResponses}; must not contain a key. */
  message?: string
  /** Time after which the caller may retry, in milliseconds from now. */
  retryAfterMs?: number
  /** The underlying error. */
  cause?: unknown
}

/**
 * An error of one of the kinds in {@link errorResponses}, which is sent to a caller or an operator.
 *
 * @example
 * throw new RequestError('queue-full', { retryAfterMs: 800 })
 */
export class RequestError extends BaseError {
  readonly kind: ErrorKind
  readonly outcome: Outcome
  readonly retryAfterMs: number | undefined

  constructor(kind: ErrorKind, opts: RequestErrorOptions = {}) {
    super(opts.message ?? errorResponses[kind].message, { cause: opts.cause })
    this.name = 'RequestError'
    this.kind = kind
    this.outcome = opts.outcome ?? 'not-run'
    this.retryAfterMs = opts.retryAfterMs
  }

  /** HTTP response to an error of this kind. */
  get response(): ErrorResponse {
    return errorResponses[this.kind]
  }
}

/**
 * Converts any thrown value into a {@link RequestError}; an unexpected error becomes `internal`.
 *
 * @example
 * const err = toRequestError(caught, 'unknown')
 */
export function toRequestError(cause: unknown, outcome: Outcome = 'unknown'): RequestError {
  return cause instanceof RequestError ? cause : new RequestError('internal', { cause, outcome })
}
