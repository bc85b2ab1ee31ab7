/**
 * Base of all error classes of the project. It does not extend modern-errors: that library accepts
 * only classes made by its `subclass()`, and replaces an instance of any class that extends it with
 * `class` by an error of another type. It also appends the messages of causes, which must not reach
 * callers.
 */
export class BaseError extends Error {
  constructor(message: string, opts: ErrorOptions = {}) {
    super(message, opts.cause === undefined ? undefined : { cause: opts.cause })
    this.name = new.target.name
  }
}
