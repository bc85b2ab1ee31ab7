import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { errorResponses, RequestError, toRequestError, type ErrorKind } from '@bulrushbridge/errors'
import { H3, type H3Event } from 'h3'
import { toNodeHandler } from 'h3/node'
import type { ClientLimits, LimitCause } from './client-limits.js'
import { limitConnections, type Admission, type ConnectionLimiter } from './connection-limiter.js'
import { sendError } from './json-response.js'

/** Maximum size of the headers of a request. */
const maxHeadersBytes = 16_384

/** Time limit for the headers of a request to arrive, in milliseconds. */
const headersTimeoutMs = 10_000

/** Time after which an idle connection of a caller is closed, in milliseconds. */
const keepAliveTimeoutMs = 65_000

/** Time without traffic after which the kernel starts TCP keep-alive probes, in milliseconds. */
const keepAliveProbeDelayMs = 10_000

/** Most header lines of a request; further ones are dropped. Those of trailers count as well. */
const maxHeaderLines = 128

/** Interval of the check for connections that exceed `headersTimeoutMs`, in milliseconds. */
const headersCheckIntervalMs = 1_000

/** Handles one request of a caller; a RequestError that it throws is sent as the response. */
export type CallerHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  requestId: string,
) => Promise<void>

/** Options of {@link createCallerServer}. */
export interface CallerServerOptions {
  host: string
  port: number
  nextRequestId: () => string
  /** Handlers by path pattern; requests to other paths get the error `unknown-path`. */
  routes: Record<string, CallerHandler>
  /** Called for each failed request. */
  onError: (err: RequestError, req: IncomingMessage, requestId: string) => void
  /** Bounds on what clients may make the server hold; without them it has none. */
  limits?: ClientLimits
  /** Time limit for a whole request to arrive, in milliseconds; 0, the default, sets none. */
  requestTimeoutMs?: number
  /** Called for each connection that is closed and each request that is rejected by a limit. */
  onLimit?: (cause: LimitCause, address: string) => void
}

/** The HTTP server that callers send their requests to. */
export interface CallerServer {
  /** Host and port on which the server listens. */
  readonly address: string
  /** Number of requests in progress. */
  activeRequests(): number
  /** What clients make the server hold now; zeros without limits. */
  held(): ReturnType<ConnectionLimiter['held']>
  /** Sends `connection: close` with all further responses; requests are still accepted. */
  drain(): void
  /** Closes the connections that have no request in progress. */
  closeIdle(): void
  close(): Promise<void>
}

/**
 * Starts the HTTP server for callers.
 *
 * @example
 * const routes = { '/queues/:queue/call/**': handleCall }
 * const server = await createCallerServer({ host, port, nextRequestId, routes, onError })
 */
export async function createCallerServer(opts: CallerServerOptions): Promise<CallerServer> {
  const inProgress = new Set<ServerResponse>()
  let isDraining = false
  const handleRequest = async (
    handler: CallerHandler,
    req: IncomingMessage,
    res: ServerResponse,
  ) => {
    const requestId = opts.nextRequestId()
    inProgress.add(res)
    if (isDraining) res.setHeader('connection', 'close')
    try {
      await handler(req, res, requestId)
    } catch (cause) {
      const err = toRequestError(cause)
      opts.onError(err, req, requestId)
      sendError(res, err, requestId)
    } finally {
      inProgress.delete(res)
      limiter?.answered(req, res)
    }
  }
  const createRoute =
    (handler: CallerHandler) =>
    ({ runtime, url }: H3Event): Promise<never> => {
      // The server supports HTTP/1.1 only, so these are the only types that h3 passes here.
      const { req, res } = runtime?.node as { req: IncomingMessage; res: ServerResponse }
      // A request line may contain an absolute URL.
      req.url = url.pathname + url.search
      handleRequest(handler, req, res).catch(() => res.destroy())
      // The handler sends the response itself. If this promise settled, h3 would end the response a
      // second time, which creates an error for each request.
      return new Promise(() => undefined)
    }
  const app = new H3()
  for (const [pattern, handler] of Object.entries(opts.routes))
    app.all(pattern, createRoute(handler))
  if (!('/**' in opts.routes)) app.all('/**', createRoute(notFound))
  const handleWithH3 = toNodeHandler(app) as (req: IncomingMessage, res: ServerResponse) => void
  const server = createServer(
    {
      maxHeaderSize: maxHeadersBytes,
      headersTimeout: headersTimeoutMs,
      connectionsCheckingInterval: headersCheckIntervalMs,
      // The body has its own time limit for each chunk, which does not limit a long upload.
      requestTimeout: opts.requestTimeoutMs ?? 0,
      // Node's own response to a request without a host precedes the bounds on requests.
      requireHostHeader: opts.limits === undefined,
      keepAliveTimeout: keepAliveTimeoutMs,
      // TCP keep-alive probes detect that the host of a waiting caller is unreachable.
      keepAlive: true,
      keepAliveInitialDelay: keepAliveProbeDelayMs,
    },
    (req, res) => {
      const admission = limiter?.admit(req, res) ?? 'admitted'
      if (admission === 'ignored') return
      if (admission !== 'admitted') {
        rejectRequest(req, res, new RequestError(rejectionKinds[admission]))
        return
      }
      if (limiter !== undefined && lacksHost(req)) {
        rejectRequest(req, res, new RequestError('bad-request'))
        return
      }
      try {
        handleWithH3(req, res)
      } catch (cause) {
        // h3 throws when the host and the target of a request together are not a URL.
        rejectRequest(req, res, new RequestError('bad-request', { cause }))
      }
    },
  )
  server.maxHeadersCount = maxHeaderLines
  const limiter =
    opts.limits === undefined
      ? undefined
      : limitConnections(server, {
          limits: opts.limits,
          onLimit: (cause, address) => opts.onLimit?.(cause, address),
        })
  /** Sends an error before the request has had any effect, and closes its connection. */
  const rejectRequest = (req: IncomingMessage, res: ServerResponse, err: RequestError) => {
    const requestId = opts.nextRequestId()
    opts.onError(err, req, requestId)
    res.setHeader('connection', 'close')
    sendError(res, err, requestId)
    limiter?.closeAfterResponse(req)
    limiter?.answered(req, res)
  }
  server.on('clientError', sendClientError)
  const port = await listen(server, opts.host, opts.port)
  return {
    address: `${opts.host}:${port}`,
    activeRequests: () => inProgress.size,
    held: () => limiter?.held() ?? nothingHeld,
    drain: () => {
      isDraining = true
      for (const res of inProgress) if (!res.headersSent) res.setHeader('connection', 'close')
    },
    closeIdle: () => {
      server.closeIdleConnections()
    },
    close: () =>
      new Promise(resolve => {
        limiter?.close()
        server.close(() => {
          resolve()
        })
        server.closeAllConnections()
      }),
  }
}

const nothingHeld = { connections: 0, requests: 0, unreadResponses: 0, unparsedBytes: 0 }

const rejectionKinds: Record<Exclude<Admission, 'admitted' | 'ignored'>, ErrorKind> = {
  'requests-of-address': 'client-limit-reached',
  'requests-of-process': 'host-limit-reached',
}

/**
 * Whether a request has no host, which HTTP/1.1 requires. Servers with limits on clients check it after
 * these, instead of Node.
 *
 * @example
 * if (lacksHost(req)) refuse('bad-request')
 */
export function lacksHost(req: IncomingMessage): boolean {
  return req.httpVersion === '1.1' && req.headers.host === undefined
}

function notFound(): Promise<void> {
  return Promise.reject(new RequestError('unknown-path'))
}

const clientErrorKinds: Record<string, ErrorKind> = {
  HPE_HEADER_OVERFLOW: 'header-too-large',
  ERR_HTTP_REQUEST_TIMEOUT: 'sender-too-slow',
}

/** Sends an error response to a request that cannot be parsed; it has not reached an upstream. */
function sendClientError(err: Error & { code?: string }, socket: Duplex): void {
  if (!socket.writable || err.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const kind = clientErrorKinds[err.code ?? ''] ?? 'bad-request'
  const { status, message } = errorResponses[kind]
  const body = JSON.stringify({ error: { kind, message, outcome: 'not-run', requestId: '' } })
  socket.end(
    `HTTP/1.1 ${status} Error\r\ncontent-type: application/json\r\nbulrush-outcome: not-run\r\n` +
      `bulrush-error: ${kind}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n` +
      `connection: close\r\n\r\n${body}`,
  )
}

/** Starts listening and returns the port. */
export async function listen(server: Server, host: string, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  const address = server.address()
  return typeof address === 'object' && address !== null ? address.port : port
}
