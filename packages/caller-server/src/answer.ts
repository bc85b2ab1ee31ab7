import type { ServerResponse } from 'node:http'
import type { RequestError } from '@bulrushbridge/errors'

/** Answers a caller with JSON. */
export function answerJson(
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
 * Answers a caller with an error of the closed list, or cuts the connection when an answer has
 * already begun, so that a caller never takes a part for the whole.
 */
export function answerError(res: ServerResponse, err: RequestError, requestId: string): void {
  if (res.headersSent) {
    res.destroy()
    return
  }
  const { answer, kind, outcome, message } = err
  const headers: Record<string, string | number> = {
    'bulrush-request-id': requestId,
    'bulrush-outcome': outcome,
    'bulrush-error': kind,
  }
  if (answer.retryable) headers['retry-after'] = retryAfterSeconds(err.retryAfterMs)
  // An unread rest of the request body would be taken for the next request.
  if (!res.req.complete) headers.connection = 'close'
  answerJson(res, answer.status, { error: { kind, message, outcome, requestId } }, headers)
}

function retryAfterSeconds(ms: number | undefined): number {
  return Math.max(1, Math.ceil((ms ?? 1_000) / 1_000))
}
