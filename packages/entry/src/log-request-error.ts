import { normalizeError } from '@bulrushbridge/errors'
import type { Logger } from '@bulrushbridge/telemetry'

/**
 * Logs a failed request, as an error only when the failure is an unexpected one of this entry host.
 */
export function logRequestError(
  log: Logger,
  err: { kind: string; outcome: string; cause?: unknown },
  url: string | undefined,
  requestId: string,
): void {
  const cause = err.cause === undefined ? undefined : normalizeError(err.cause).message
  const level = err.kind === 'internal' ? 'error' : 'info'
  // The query is left out: it is meant for the upstream and may contain the caller's credentials.
  const path = url?.split('?', 1)[0]
  log[level]('request failed', { requestId, path, kind: err.kind, outcome: err.outcome, cause })
}
