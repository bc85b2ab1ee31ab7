import { createServer } from 'node:http'
import {
  limitConnections,
  listen,
  type ClientLimits,
  type LimitCause,
} from '@bulrushbridge/caller-server'

/** Most header lines of a request; further ones are dropped. */
const maxHeaderLines = 64

/** Maximum size of the headers of a request. */
const maxHeadersBytes = 8_192

/** Time limit for a request to arrive, in milliseconds. */
const requestTimeoutMs = 10_000

/** Options of {@link createInternalServer}. */
export interface InternalServerOptions {
  /** `ip:port` on which the server listens. */
  address: string
  respond: (path: string) => { status: number; body: string }
  limits: ClientLimits
  onLimit: (cause: LimitCause, clientAddress: string) => void
}

/** A server for operators and the platform. */
export interface InternalServer {
  close(): void
}

/**
 * Starts a server of short texts, such as the readiness check. Bodies of requests are discarded.
 *
 * @throws The server's error when the port is taken.
 * @example
 * const server = await createInternalServer({ address, respond, limits, onLimit })
 */
export async function createInternalServer(opts: InternalServerOptions): Promise<InternalServer> {
  const server = createServer(
    {
      maxHeaderSize: maxHeadersBytes,
      headersTimeout: requestTimeoutMs,
      requestTimeout: requestTimeoutMs,
      // Node's own response to a request without a host precedes the bounds on requests.
      requireHostHeader: false,
    },
    (req, res) => {
      const admission = limiter.admit(req, res)
      if (admission === 'ignored') return
      req.resume()
      const { status, body } =
        admission === 'admitted' ? opts.respond(req.url ?? '') : { status: 503, body: 'busy' }
      res.writeHead(status, {
        'content-type': 'text/plain; charset=utf-8',
        'content-length': Buffer.byteLength(body),
      })
      res.end(req.method === 'HEAD' ? undefined : body)
      limiter.answered(req, res)
    },
  )
  server.maxHeadersCount = maxHeaderLines
  const limiter = limitConnections(server, { limits: opts.limits, onLimit: opts.onLimit })
  const [host = '', port = ''] = opts.address.split(':')
  await listen(server, host, Number(port))
  return {
    close: () => {
      limiter.close()
      server.close()
      server.closeAllConnections()
    },
  }
}
