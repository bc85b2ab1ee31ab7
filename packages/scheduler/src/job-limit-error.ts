import { BaseError } from '@bulrushbridge/errors'

/** A submitted job exceeds a limit on its size; the message names the limit for the caller. */
export class JobLimitError extends BaseError {}
