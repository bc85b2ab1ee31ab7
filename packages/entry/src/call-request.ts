import type { IncomingMessage } from 'node:http'
import { RequestError } from '@bulrushbridge/errors'

/** Headers that concern one connection only and are never forwarded. */
const hopByHop = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'host',
])

/** Headers that are set by this system, or that runners and callers must not receive. */
const internalHeaders = new Set([
  'authorization',
  'traceparent',
  'bulrush-deadline',
  'bulrush-request-id',
  'bulrush-team',
  'bulrush-outcome',
  'bulrush-error',
])

const idempotentMethods = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'])
const callMethods = new Set([...idempotentMethods, 'POST', 'PATCH'])

const callPathPattern = /^\/queues\/([a-z][a-z0-9-]{0,62})\/call(\/.*|\?.*)?$/
const idempotencyKeyPattern = /^[\x21-\x7e]{1,128}$/

/** A caller's request whose path and headers have been checked. */
export interface CallRequest {
  queue: string
  /** Path and query that are sent to the runner. */
  path: string
  method: string
  idempotent: boolean
  /** Deadline in milliseconds on the entry host's clock. */
  deadline: number
  idempotencyKey: string | undefined
  /** Undefined for a body of unknown length; 0 without a body. */
  contentLength: number | undefined
  /** End-to-end headers; names and values alternate. */
  headers: string[]
}

/** Limits that {@link parseCallRequest} checks. */
export interface CallLimits {
  defaultDeadlineMs: number
  maxDeadlineMs: number
  maxBodyBytes: number
}

/**
 * Checks path and headers of a caller's request.
 *
 * @throws RequestError `unknown-path`, `bad-request`, `bad-header`, `bad-deadline`, `body-too-large`
 */
export function parseCallRequest(
  req: IncomingMessage,
  limits: CallLimits,
  now: number,
): CallRequest {
  const match = callPathPattern.exec(req.url ?? '')
  if (match === null) throw new RequestError('unknown-path')
  const [, queue = '', rest = ''] = match
  const method = req.method ?? ''
  if (!callMethods.has(method)) {
    throw new RequestError('bad-request', { message: `The method ${method} is not supported.` })
  }
  return {
    queue,
    path: rest.startsWith('/') ? rest : `/${rest}`,
    method,
    idempotent: idempotentMethods.has(method),
    deadline: now + parseDeadline(req.headers['bulrush-deadline'], limits),
    idempotencyKey: parseIdempotencyKey(req.headers['idempotency-key']),
    contentLength: parseContentLength(req, limits),
    headers: endToEndHeaders(req.rawHeaders, req.headers.connection),
  }
}

function parseDeadline(header: string | string[] | undefined, limits: CallLimits): number {
  if (header === undefined) return limits.defaultDeadlineMs
  const ms = typeof header === 'string' && /^\d{1,9}$/.test(header) ? Number(header) : 0
  if (ms < 1 || ms > limits.maxDeadlineMs) throw new RequestError('bad-deadline')
  return ms
}

function parseIdempotencyKey(header: string | string[] | undefined): string | undefined {
  if (header === undefined) return undefined
  if (typeof header === 'string' && idempotencyKeyPattern.test(header)) return header
  throw new RequestError('bad-header', {
    message: 'idempotency-key must be 1 to 128 visible ASCII characters.',
  })
}

function parseContentLength(req: IncomingMessage, limits: CallLimits): number | undefined {
  const header = req.headers['content-length']
  if (header === undefined) return req.headers['transfer-encoding'] === undefined ? 0 : undefined
  const bytes = Number(header)
  if (bytes > limits.maxBodyBytes) throw new RequestError('body-too-large')
  return bytes
}

/** Returns the headers to forward, without hop-by-hop headers and those named by `connection`. */
export function endToEndHeaders(raw: string[], connection: string | undefined): string[] {
  const named =
    connection === undefined || connection === 'keep-alive' || connection === 'close'
      ? undefined
      : new Set(connection.split(',').map(token => token.trim().toLowerCase()))
  const forwarded: string[] = []
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i] ?? ''
    const lower = name.toLowerCase()
    if (hopByHop.has(lower) || internalHeaders.has(lower) || named?.has(lower) === true) continue
    forwarded.push(name, raw[i + 1] ?? '')
  }
  return forwarded
}

/** Whether a header of an upstream's answer is forwarded to the caller. */
export function isPassedToCaller(name: string): boolean {
  return !hopByHop.has(name) && !internalHeaders.has(name)
}
