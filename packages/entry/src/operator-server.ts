import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { H3 } from 'h3'
import { toNodeHandler } from 'h3/node'
import type { Metrics } from '@bulrushbridge/telemetry'
import { listen } from '@bulrushbridge/caller-server'

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
 * const server = await createOperatorServer({ host, port, api, metrics, notReady })
 */
export async function createOperatorServer(opts: OperatorServerOptions): Promise<OperatorServer> {
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
      new Response(opts.metrics.render(), {
        headers: { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' },
      }),
  )
  app.mount('', opts.api)
  const handleWithH3 = toNodeHandler(app) as (req: IncomingMessage, res: ServerResponse) => void
  const server = createServer((req, res) => {
    try {
      handleWithH3(req, res)
    } catch {
      // h3 throws when the host and the target of a request together are not a URL.
      res.writeHead(400, { connection: 'close' }).end()
    }
  })
  const port = await listen(server, opts.host, opts.port)
  return {
    address: `${opts.host}:${port}`,
    close: () =>
      new Promise(resolve => {
        server.close(() => {
          resolve()
        })
        server.closeAllConnections()
      }),
  }
}
