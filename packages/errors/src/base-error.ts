/**
 * Base of all error classes of the project. It does not extend modern-errors: that library refuses
 * `new` on classes declared with `extends`, and merges the message of a cause, which may hold
 * internal details, into the message shown to callers.
 */
export class BaseError extends Error {
  constructor(message: string, opts: ErrorOptions = {}) {
    super(message, opts.cause === undefined ? {} : { cause: opts.cause })
  }
}
