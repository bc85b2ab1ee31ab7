import { BaseError } from '@bulrushbridge/errors'

/**
 * The storage did not answer, or answered with a failure.
 *
 * `settled` is false when a transaction may have taken effect although its result is unknown.
 */
export class StoreError extends BaseError {
  readonly settled: boolean

  constructor(message: string, opts: { settled?: boolean; cause?: unknown } = {}) {
    super(message, { cause: opts.cause })
    this.name = 'StoreError'
    this.settled = opts.settled ?? true
  }
}
