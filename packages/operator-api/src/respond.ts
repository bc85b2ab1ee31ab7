import { randomUUID } from 'node:crypto'
import { hideSecrets, toRequestError } from '@bulrushbridge/errors'

/** A JSON response. */
export function respond(status: number, body: unknown): Response {
  return new Response(hideSecrets(JSON.stringify(body)), {
    status,
    headers: { 'content-type': 'application/json' },
  })
}

/** The response to an error, with the headers of the design page's section 6. */
export function respondError(caught: unknown, extra: Record<string, unknown> = {}): Response {
  const err = toRequestError(caught)
  const requestId = randomUUID()
  const { kind, message, outcome } = err
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'bulrush-error': kind,
    'bulrush-outcome': outcome,
    'bulrush-request-id': requestId,
    ...(err.answer.retryable ? { 'retry-after': '1' } : {}),
  }
  const body = hideSecrets(
    JSON.stringify({ error: { kind, message, outcome, requestId, ...extra } }),
  )
  return new Response(body, { status: err.answer.status, headers })
}
