import ModernError from 'modern-errors'

/**
 * Base of all error classes of the project. The declared type is a plain Error constructor,
 * because the generic instance type of modern-errors is not assignable to Error.
 */
export const BaseError = ModernError as unknown as new (
  message: string,
  opts?: ErrorOptions,
) => Error
