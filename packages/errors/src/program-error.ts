import ModernError from 'modern-errors'

/** Errors that end a program or a background task. */
export const ProgramError = ModernError.subclass('ProgramError')

/** An error that nothing foresaw; its stack belongs in the log. */
export const UnknownError = ModernError.subclass('UnknownError')

/**
 * Turns anything thrown into an Error with a stack, for logs and for the end of a program.
 *
 * @example
 * log.error(normalizeError(caught).message)
 */
export function normalizeError(caught: unknown): Error {
  return ModernError.normalize(caught, UnknownError)
}
