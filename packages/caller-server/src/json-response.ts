import type { ServerResponse } from 'node:http'
import type { RequestError } from '@bulrushbridge/errors'

/** Sends a JSON response to a caller. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string | number> = {},
): void {
  const body = JSON.stringify(value)
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...headers,
  })
  res.end(res.req.method === 'HEAD' ? undefined : body)
}

/**
 * Sends an error response to a caller. When the headers of a response are already sent, it closes
 * the connection instead, so that the caller cannot take a partial response for a complete one.
 */
export function sendError(res: ServerResponse, err: RequestError, requestId: string): void {
  if (res.headersSent) {
    res.destroy()
    return
  }
  const { response, kind, outcome, message } = err
  const headers: Record<string, string | number> = {
    'bulrush-request-id': requestId,
    'bulrush-outcome': outcome,
    'bulrush-error': kind,
  }
  if (response.retryable) headers['retry-after'] = retryAfterSeconds(err.retryAfterMs)
  // Otherwise the unread rest of the request body would be parsed as the next request.
  if (!res.req.complete) headers.connection = 'close'
  sendJson(res, response.status, { error: { kind, message, outcome, requestId } }, headers)
}

function retryAfterSeconds(ms: number | undefined): number {
  return Math.max(1, Math.ceil((ms ?? 1_000) / 1_000))
}
