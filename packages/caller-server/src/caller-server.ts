import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { errorTable, RequestError, toRequestError, type ErrorKind } from '@bulrushbridge/errors'
import { H3, type H3Event } from 'h3'
import { toNodeHandler } from 'h3/node'
import { answerError } from './answer.js'

/** Most bytes of request headers. */
const maxHeaderBytes = 16_384

/** Time for the headers of a request to arrive, in milliseconds. */
const headersTimeoutMs = 10_000

/** Time after which an idle connection of a caller is closed, in milliseconds. */
const idleTimeoutMs = 65_000

/** Silence after which the kernel starts to probe a connection, in milliseconds. */
const probeDelayMs = 10_000

/** Interval of the check for connections whose headers are late, in milliseconds. */
const timeoutCheckMs = 1_000

/** Handles one request of a caller; a RequestError that it throws becomes the answer. */
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
  /** Handlers by pattern of the path; other paths are answered with `unknown-path`. */
  routes: Record<string, CallerHandler>
  /** Told of each failed request. */
  onError: (err: RequestError, req: IncomingMessage, requestId: string) => void
}

/** The HTTP server for callers. */
export interface CallerServer {
  readonly address: string
  /** Number of requests in progress. */
  active(): number
  /** Answers from now on ask callers to close their connections; requests are still taken. */
  drain(): void
  /** Closes the connections on which no request is in progress. */
  closeIdle(): void
  close(): Promise<void>
}

/**
 * Serves callers.
 *
 * @example
 * const routes = { '/queues/:queue/call/**': handleCall }
 * const server = await createCallerServer({ host, port, nextRequestId, routes, onError })
 */
export async function createCallerServer(opts: CallerServerOptions): Promise<CallerServer> {
  const inProgress = new Set<ServerResponse>()
  let draining = false
  const serve = async (handler: CallerHandler, req: IncomingMessage, res: ServerResponse) => {
    const requestId = opts.nextRequestId()
    inProgress.add(res)
    if (draining) res.setHeader('connection', 'close')
    try {
      await handler(req, res, requestId)
    } catch (cause) {
      const err = toRequestError(cause)
      opts.onError(err, req, requestId)
      answerError(res, err, requestId)
    } finally {
      inProgress.delete(res)
    }
  }
  const route =
    (handler: CallerHandler) =>
    ({ runtime, url }: H3Event): Promise<never> => {
      // The server speaks HTTP/1.1 only, so the wider types of h3 do not occur.
      const { req, res } = runtime?.node as { req: IncomingMessage; res: ServerResponse }
      // A request line may hold a whole URL.
      req.url = url.pathname + url.search
      serve(handler, req, res).catch(() => res.destroy())
      // The handler answers itself. After a settled promise h3 would end the answer a second time,
      // which creates an error for each request.
      return new Promise(() => undefined)
    }
  const app = new H3()
  for (const [pattern, handler] of Object.entries(opts.routes)) app.all(pattern, route(handler))
  if (!('/**' in opts.routes)) app.all('/**', route(notFound))
  const server = createServer(
    {
      maxHeaderSize: maxHeaderBytes,
      headersTimeout: headersTimeoutMs,
      connectionsCheckingInterval: timeoutCheckMs,
      // Bodies have a progress deadline of their own, which does not limit a long upload.
      requestTimeout: 0,
      keepAliveTimeout: idleTimeoutMs,
      // TCP probes find callers whose host has gone while their request waits.
      keepAlive: true,
      keepAliveInitialDelay: probeDelayMs,
    },
    toNodeHandler(app) as (req: IncomingMessage, res: ServerResponse) => void,
  )
  server.on('clientError', answerClientError)
  const port = await listen(server, opts.host, opts.port)
  return {
    address: `${opts.host}:${port}`,
    active: () => inProgress.size,
    drain: () => {
      draining = true
      for (const res of inProgress) if (!res.headersSent) res.setHeader('connection', 'close')
    },
    closeIdle: () => {
      server.closeIdleConnections()
    },
    close: () =>
      new Promise(resolve => {
        server.close(() => {
          resolve()
        })
        server.closeAllConnections()
      }),
  }
}

function notFound(): Promise<void> {
  return Promise.reject(new RequestError('unknown-path'))
}

const clientErrorKinds: Record<string, ErrorKind> = {
  HPE_HEADER_OVERFLOW: 'header-too-large',
  ERR_HTTP_REQUEST_TIMEOUT: 'sender-too-slow',
}

/** Answers a request that could not be parsed; nothing of it has reached an upstream. */
function answerClientError(err: Error & { code?: string }, socket: Duplex): void {
  if (!socket.writable || err.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const kind = clientErrorKinds[err.code ?? ''] ?? 'bad-request'
  const { status, message } = errorTable[kind]
  const body = JSON.stringify({ error: { kind, message, outcome: 'not-run', requestId: '' } })
  socket.end(
    `HTTP/1.1 ${status} Error\r\ncontent-type: application/json\r\nbulrush-outcome: not-run\r\n` +
      `bulrush-error: ${kind}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n` +
      `connection: close\r\n\r\n${body}`,
  )
}

/** Listens and returns the port. */
export async function listen(server: Server, host: string, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  const address = server.address()
  return typeof address === 'object' && address !== null ? address.port : port
}
