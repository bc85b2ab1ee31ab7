import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { ResponseLoss, noFaults, type Faults } from './faults.js'
import { RateLimiter, RateCounter } from './rates.js'

/** Address on which a stand-in listens; port 0 picks a free port. */
export interface ListenOptions {
  host?: string
  port?: number
}

/** A parsed HTTP request to a stand-in. */
export interface StandinRequest {
  method: string
  /** Decoded path segments. */
  path: string[]
  query: URLSearchParams
  body: string
}

/** Response of a stand-in; a string body is sent as plain text, any other body as JSON. */
export interface StandinResponse {
  status: number
  body: unknown
  /** Number of rows written, added to {@link Counters}. */
  rowsWritten?: number
}

/** Totals since the start, and counts of the last complete second. */
export interface Counters {
  reads: number
  writes: number
  rowsWritten: number
  readsPerSecond: number
  writesPerSecond: number
}

/** A running stand-in. */
export interface Standin {
  readonly url: string
  readonly faults: Faults
  counters(): Counters
  close(): Promise<void>
}

/** Handles one request synchronously, so that its changes to the stand-in's state are atomic. */
export type RequestHandler = (req: StandinRequest) => StandinResponse

const notFoundResponse: StandinResponse = { status: 404, body: { error: 'not found' } }

/**
 * Serves a request handler over HTTP with fault injection. `POST /faults` sets fault switches and
 * `GET /counters` returns the counters.
 */
export async function createFaultServer(
  opts: ListenOptions,
  handle: RequestHandler,
): Promise<Standin> {
  const server = new FaultServer(handle)
  await server.listen(opts)
  return server
}

class FaultServer implements Standin {
  readonly faults = noFaults()
  readonly #handle: RequestHandler
  readonly #sockets = new Set<Socket>()
  readonly #loss = new ResponseLoss()
  readonly #rateLimiters = { read: new RateLimiter(), write: new RateLimiter() }
  readonly #reads = new RateCounter()
  readonly #writes = new RateCounter()
  readonly #rowsWritten = new RateCounter()
  readonly #server = createServer((req, res) => void this.#serve(req, res))

  constructor(handle: RequestHandler) {
    this.#handle = handle
    this.#server.on('connection', socket => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
    })
  }

  async listen(opts: ListenOptions): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(opts.port ?? 0, opts.host ?? '127.0.0.1', resolve)
    })
  }

  get url(): string {
    const { address, port } = this.#server.address() as AddressInfo
    return `http://${address}:${port}`
  }

  counters(): Counters {
    return {
      reads: this.#reads.total,
      writes: this.#writes.total,
      rowsWritten: this.#rowsWritten.total,
      readsPerSecond: this.#reads.perSecond(),
      writesPerSecond: this.#writes.perSecond(),
    }
  }

  async close(): Promise<void> {
    const closed = new Promise(resolve => this.#server.close(resolve))
    for (const socket of this.#sockets) socket.destroy()
    await closed
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const url = new URL(req.url ?? '/', 'http://standin')
      const method = req.method ?? 'GET'
      const path = url.pathname.split('/').slice(1).map(decodeURIComponent)
      const isControl = path.length === 1 && (path[0] === 'faults' || path[0] === 'counters')
      if (!isControl && this.faults.down) return void req.socket.destroy()
      const body = await readBody(req)
      if (isControl) {
        send(res, this.#handleControl(path[0] ?? '', method, body))
        return
      }
      if (this.faults.silent) return
      const kind = method === 'GET' ? 'read' : 'write'
      const limitName = kind === 'read' ? 'maxReadsPerSecond' : 'maxWritesPerSecond'
      await this.#rateLimiters[kind].wait(this.faults[limitName])
      if (this.faults.slowMs > 0) await delay(this.faults.slowMs)
      // `down` may have been switched on while the request waited.
      if (this.faults.down) return void req.socket.destroy()
      const response = this.#handle({ method, path, query: url.searchParams, body })
      ;(kind === 'read' ? this.#reads : this.#writes).add()
      this.#rowsWritten.add(response.rowsWritten ?? 0)
      if (this.#loss.shouldLoseNext(this.faults.loseAnswers)) return void req.socket.destroy()
      send(res, response)
    } catch (err) {
      if (!res.headersSent) send(res, { status: 400, body: { error: String(err) } })
    }
  }

  #handleControl(name: string, method: string, body: string): StandinResponse {
    if (name === 'counters' && method === 'GET') return { status: 200, body: this.counters() }
    if (name !== 'faults' || method !== 'POST') return notFoundResponse
    const changes = JSON.parse(body) as Record<string, unknown>
    const current = this.faults as unknown as Record<string, unknown>
    const wrong = Object.keys(changes).filter(key => typeof changes[key] !== typeof current[key])
    // An unknown name or a wrong type must fail, or a test would run without its fault.
    if (wrong.length > 0) return { status: 400, body: { error: 'not a switch', wrong } }
    Object.assign(this.faults, changes)
    return { status: 200, body: this.faults }
  }
}

async function readBody(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of req) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString()
}

function send(res: ServerResponse, response: StandinResponse): void {
  const isText = typeof response.body === 'string'
  const body = isText ? (response.body as string) : JSON.stringify(response.body)
  res.writeHead(response.status, {
    'content-type': isText ? 'text/plain' : 'application/json',
    'content-length': Buffer.byteLength(body),
  })
  res.end(body)
}
