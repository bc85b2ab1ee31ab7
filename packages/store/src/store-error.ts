import { BaseError } from '@bulrushbridge/errors'

/**
 * A call to the platform's storage failed or got no response.
 */
export class StoreError extends BaseError {
  /** False when the result of a transaction is unknown, so that it may have taken effect. */
  readonly isResultKnown: boolean
  /** The service refuses the transaction itself, so that it would refuse it again. */
  readonly isRejected: boolean

  constructor(
    message: string,
    opts: { isResultKnown?: boolean; isRejected?: boolean; cause?: unknown } = {},
  ) {
    super(message, { cause: opts.cause })
    this.name = 'StoreError'
    this.isResultKnown = opts.isResultKnown ?? true
    this.isRejected = opts.isRejected ?? false
  }
}
