import { BaseError } from '@bulrushbridge/errors'
import type { ExitKind } from './exit-status.js'

/** Ends a command with an exit status and a message for the operator. */
export class CommandError extends BaseError {
  readonly exitKind: ExitKind
  /** Additional fields that `--json` prints with the message. */
  readonly details: Record<string, unknown>

  constructor(exitKind: ExitKind, message: string, details: Record<string, unknown> = {}) {
    super(message)
    this.name = 'CommandError'
    this.exitKind = exitKind
    this.details = details
  }
}
