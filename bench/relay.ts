import { createServer, type IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Pool } from 'undici'

/** Options of {@link serveRelay}. */
export interface RelayOptions {
  host: string
  /** `IP:port` of the runners. */
  targets: string[]
  policy: 'random' | 'round-robin'
  /** Most requests in progress at one runner; a request that would exceed it is refused. */
  slots: number
}

/**
 * A minimal relay without queues, limits, keys, metrics or retries: the floor of what a hop costs,
 * and with several targets the baseline of the routing.
 */
export async function serveRelay(opts: RelayOptions): Promise<string> {
  const runners = opts.targets.map(address => ({
    pool: new Pool(`http://${address}`, { connections: 64, pipelining: 1 }),
    inFlight: 0,
  }))
  let turn = 0
  const choose = {
    random: () => Math.floor(Math.random() * runners.length),
    'round-robin': () => turn++ % runners.length,
  }[opts.policy]
  let id = 0
  const server = createServer((req, res) => {
    const runner = runners[choose()]
    if (runner === undefined || runner.inFlight >= opts.slots) {
      res.writeHead(503).end()
      return
    }
    runner.inFlight += 1
    res.once('close', () => (runner.inFlight -= 1))
    const path = (req.url ?? '/').replace(/^\/queues\/[^/]+\/call/, '')
    const headers = { ...endToEnd(req), 'bulrush-request-id': `relay-${++id}` }
    const body = req.method === 'GET' ? null : req
    runner.pool.request({ method: req.method as 'GET', path, headers, body }).then(
      answer => {
        res.writeHead(answer.statusCode, answer.headers)
        answer.body.pipe(res)
      },
      () => res.destroy(),
    )
  })
  await new Promise<void>(resolve => server.listen(0, opts.host, resolve))
  return `${opts.host}:${(server.address() as AddressInfo).port}`
}

function endToEnd(req: IncomingMessage): IncomingMessage['headers'] {
  const headers = { ...req.headers }
  delete headers.connection
  delete headers.host
  return headers
}
