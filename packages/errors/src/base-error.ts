/**
 * Base of all error classes of the project. It is a plain Error: modern-errors accepts only
 * classes made by its `subclass` function, and throws when another subclass is constructed.
 */
export class BaseError extends Error {}
