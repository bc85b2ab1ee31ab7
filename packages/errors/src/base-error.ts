/**
 * Base of all error classes of the project. It extends Error directly, because modern-errors rejects
 * `new` on a class that was declared with `extends` instead of `subclass`.
 */
export class BaseError extends Error {}
