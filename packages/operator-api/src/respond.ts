import { randomUUID } from 'node:crypto'
import { hideSecrets, toRequestError } from '@bulrushbridge/errors'

/** Creates a JSON response; secrets of keys and credentials in it are hidden. */
export function jsonResponse(status: number, body: unknown): Response {
  return new Response(hideSecrets(JSON.stringify(body)), {
    status,
    headers: { 'content-type': 'application/json' },
  })
}

/** Creates the response to an error; its kind, outcome and request id are in headers and body. */
export function errorResponse(
  caught: unknown,
  extraFields: Record<string, unknown> = {},
): Response {
  const err = toRequestError(caught)
  const requestId = randomUUID()
  const { kind, message, outcome } = err
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'bulrush-error': kind,
    'bulrush-outcome': outcome,
    'bulrush-request-id': requestId,
    ...(err.response.retryable ? { 'retry-after': '1' } : {}),
  }
  const body = hideSecrets(
    JSON.stringify({ error: { kind, message, outcome, requestId, ...extraFields } }),
  )
  return new Response(body, { status: err.response.status, headers })
}
