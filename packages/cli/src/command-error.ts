import { BaseError } from '@bulrushbridge/errors'
import type { Exit } from './exit-status.js'

/** Ends a command with a sentence for the operator. */
export class CommandError extends BaseError {
  readonly exit: Exit
  /** What `--json` prints beside the message. */
  readonly details: Record<string, unknown>

  constructor(exit: Exit, message: string, details: Record<string, unknown> = {}) {
    super(message)
    this.name = 'CommandError'
    this.exit = exit
    this.details = details
  }
}
