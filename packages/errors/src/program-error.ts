import ModernError from 'modern-errors'

/** An error that ends a program or a background task. */
export const ProgramError = ModernError.subclass('ProgramError')

/** An unexpected error; its stack belongs in the log. */
export const UnknownError = ModernError.subclass('UnknownError')

/**
 * Converts any thrown value into an Error with a stack, for logs and for a program that ends on it.
 *
 * @example
 * log.error(normalizeError(caught).message)
 */
export function normalizeError(caught: unknown): Error {
  return ModernError.normalize(caught, UnknownError)
}
