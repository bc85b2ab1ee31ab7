import { normalizeError } from '@bulrushbridge/errors'
import type { Logger } from '@bulrushbridge/telemetry'

/** Logs a failed request; only an unexpected failure is an error of this entry host. */
export function logRequestError(
  log: Logger,
  err: { kind: string; outcome: string; cause?: unknown },
  url: string | undefined,
  requestId: string,
): void {
  const cause = err.cause === undefined ? undefined : normalizeError(err.cause).message
  const level = err.kind === 'internal' ? 'error' : 'info'
  // The query belongs to the upstream and may hold credentials of the caller.
  const path = url?.split('?', 1)[0]
  log[level]('request failed', { requestId, path, kind: err.kind, outcome: err.outcome, cause })
}
