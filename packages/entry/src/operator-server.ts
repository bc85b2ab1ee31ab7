import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { H3 } from 'h3'
import { toNodeHandler } from 'h3/node'
import { RequestError, type ErrorKind } from '@bulrushbridge/errors'
import type { Metrics } from '@bulrushbridge/telemetry'
import {
  createCachedValue,
  lacksHost,
  limitConnections,
  listen,
  sendError,
  type ClientLimits,
  type LimitCause,
} from '@bulrushbridge/caller-server'

/** Age up to which the text of the metrics is used again, in milliseconds. */
const metricsAgeMs = 250

/** Maximum size of the headers of a request. */
const maxHeadersBytes = 16_384

/** Most header lines of a request; further ones are dropped. */
const maxHeaderLines = 64

/** Time limit for the headers of a request to arrive, in milliseconds. */
const headersTimeoutMs = 10_000

/** Time limit for a request to arrive, in milliseconds; a document may have 8 MB. */
const requestTimeoutMs = 60_000

/** Options of {@link createOperatorServer}. */
export interface OperatorServerOptions {
  host: string
  port: number
  /** The operators' API. */
  api: H3
  metrics: Metrics
  /**
   * Returns why the balancer should not send callers here; undefined while the entry host is ready.
   */
  notReady: () => string | undefined
  /** Bounds on what clients may make the server hold. */
  limits: ClientLimits
  /** Called for each connection that is closed and each request that is rejected by a limit. */
  onLimit: (cause: LimitCause, address: string) => void
}

/** The HTTP server for operators, the balancer's health checks and the scraping of metrics. */
export interface OperatorServer {
  readonly address: string
  close(): Promise<void>
}

/**
 * Serves the operators' API, `/health/live`, `/health/ready` and `/metrics`.
 *
 * @example
 * const server = await createOperatorServer({ host, port, api, metrics, notReady, limits, onLimit })
 */
export async function createOperatorServer(opts: OperatorServerOptions): Promise<OperatorServer> {
  const readMetrics = createCachedValue(() => opts.metrics.render(), metricsAgeMs)
  const app = new H3()
  app.get('/health/live', () => Response.json({ state: 'ok' }))
  app.get('/health/ready', () => {
    const reason = opts.notReady()
    return reason === undefined
      ? Response.json({ state: 'ready' })
      : Response.json({ state: 'not-ready', reason }, { status: 503 })
  })
  app.get(
    '/metrics',
    () =>
      new Response(readMetrics(performance.now()), {
        headers: { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' },
      }),
  )
  app.mount('', opts.api)
  const handleWithH3 = toNodeHandler(app) as (req: IncomingMessage, res: ServerResponse) => void
  const server = createServer(
    {
      maxHeaderSize: maxHeadersBytes,
      headersTimeout: headersTimeoutMs,
      requestTimeout: requestTimeoutMs,
      // Node's own response to a request without a host precedes the bounds on requests.
      requireHostHeader: false,
    },
    (req, res) => {
      const admission = limiter.admit(req, res)
      if (admission === 'ignored') return
      onAnswered(res, () => {
        limiter.answered(req, res)
      })
      const refuse = (kind: ErrorKind) => {
        res.setHeader('connection', 'close')
        sendError(res, new RequestError(kind), '')
        limiter.closeAfterResponse(req)
      }
      if (admission !== 'admitted') {
        refuse('host-limit-reached')
        return
      }
      if (lacksHost(req)) {
        refuse('bad-request')
        return
      }
      try {
        handleWithH3(req, res)
      } catch {
        // h3 throws when the host and the target of a request together are not a URL.
        refuse('bad-request')
      }
    },
  )
  server.maxHeadersCount = maxHeaderLines
  const limiter = limitConnections(server, { limits: opts.limits, onLimit: opts.onLimit })
  const port = await listen(server, opts.host, opts.port)
  return {
    address: `${opts.host}:${port}`,
    close: () =>
      new Promise(resolve => {
        limiter.close()
        server.close(() => {
          resolve()
        })
        server.closeAllConnections()
      }),
  }
}

/** Calls `onEnd` when a response has been written or its connection has ended; h3 tells neither. */
function onAnswered(res: ServerResponse, onEnd: () => void): void {
  const end = res.end.bind(res) as (...args: unknown[]) => ServerResponse
  res.end = (...args: unknown[]) => {
    onEnd()
    return end(...args)
  }
  res.once('close', onEnd)
}
