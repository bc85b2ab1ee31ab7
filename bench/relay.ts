import { createServer, type IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Pool } from 'undici'

/** Options of {@link serveRelay}. */
export interface RelayOptions {
  /** IP address on which the relay listens. */
  host: string
  /** Addresses of the runners as `IP:port`. */
  targets: string[]
  /** How the runner of a request is chosen. */
  policy: 'random' | 'round-robin'
  /** Upper limit of requests in progress at one runner; the relay refuses further requests. */
  slots: number
}

/**
 * Starts a minimal relay without queues, team limits, keys, metrics or retries and resolves to its
 * `IP:port`. Its cost is the floor, the least that a hop can cost. With several targets it is also
 * the baseline that the routing is compared with.
 */
export async function serveRelay(opts: RelayOptions): Promise<string> {
  const runners = opts.targets.map(address => ({
    pool: new Pool(`http://${address}`, { connections: 64, pipelining: 1 }),
    inFlight: 0,
  }))
  let nextIndex = 0
  const chooseIndex = {
    random: () => Math.floor(Math.random() * runners.length),
    'round-robin': () => nextIndex++ % runners.length,
  }[opts.policy]
  let requestCount = 0
  const server = createServer((req, res) => {
    const runner = runners[chooseIndex()]
    if (runner === undefined || runner.inFlight >= opts.slots) {
      res.writeHead(503).end()
      return
    }
    runner.inFlight += 1
    res.once('close', () => (runner.inFlight -= 1))
    const path = (req.url ?? '/').replace(/^\/queues\/[^/]+\/call/, '')
    const headers = { ...copyEndToEndHeaders(req), 'bulrush-request-id': `relay-${++requestCount}` }
    const body = req.method === 'GET' ? null : req
    runner.pool.request({ method: req.method as 'GET', path, headers, body }).then(
      upstreamResponse => {
        res.writeHead(upstreamResponse.statusCode, upstreamResponse.headers)
        upstreamResponse.body.pipe(res)
      },
      () => res.destroy(),
    )
  })
  await new Promise<void>(resolve => server.listen(0, opts.host, resolve))
  return `${opts.host}:${(server.address() as AddressInfo).port}`
}

/** Copies the headers of a request without those that belong to its connection. */
function copyEndToEndHeaders(req: IncomingMessage): IncomingMessage['headers'] {
  const headers = { ...req.headers }
  delete headers.connection
  delete headers.host
  return headers
}
