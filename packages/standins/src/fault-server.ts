import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { AnswerLoss, noFaults, type Faults } from './faults.js'
import { Pacer, RateCounter } from './rates.js'

/** Where a stand-in listens; port 0 takes a free one. */
export interface ListenOptions {
  host?: string
  port?: number
}

/** A request as a stand-in's handler sees it. */
export interface StandinRequest {
  method: string
  /** Decoded path segments. */
  path: string[]
  query: URLSearchParams
  body: string
}

/** The handler's answer; an object is sent as JSON, a string as it is. */
export interface StandinAnswer {
  status: number
  body: unknown
  /** Rows written, for the counters. */
  rowsWritten?: number
}

/** Totals, and the figures of the last complete second. */
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

/** Applies one request to the stand-in's state, at once and atomically. */
export type Handler = (req: StandinRequest) => StandinAnswer

const notFound: StandinAnswer = { status: 404, body: { error: 'not found' } }

/** Serves a handler over HTTP with one switch per fault; `POST /faults` sets switches. */
export async function createFaultServer(opts: ListenOptions, handle: Handler): Promise<Standin> {
  const server = new FaultServer(handle)
  await server.listen(opts)
  return server
}

class FaultServer implements Standin {
  readonly faults = noFaults()
  readonly #handle: Handler
  readonly #sockets = new Set<Socket>()
  readonly #loss = new AnswerLoss()
  readonly #pacers = { read: new Pacer(), write: new Pacer() }
  readonly #reads = new RateCounter()
  readonly #writes = new RateCounter()
  readonly #rows = new RateCounter()
  readonly #server = createServer((req, res) => void this.#serve(req, res))

  constructor(handle: Handler) {
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
      rowsWritten: this.#rows.total,
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
      const body = await bodyOf(req)
      if (isControl) {
        send(res, this.#control(path[0] ?? '', method, body))
        return
      }
      if (this.faults.silent) return
      const kind = method === 'GET' ? 'read' : 'write'
      const limit = kind === 'read' ? 'maxReadsPerSecond' : 'maxWritesPerSecond'
      await this.#pacers[kind].wait(this.faults[limit])
      if (this.faults.slowMs > 0) await delay(this.faults.slowMs)
      // The request may have waited while the stand-in went down.
      if (this.faults.down) return void req.socket.destroy()
      const answer = this.#handle({ method, path, query: url.searchParams, body })
      ;(kind === 'read' ? this.#reads : this.#writes).add()
      this.#rows.add(answer.rowsWritten ?? 0)
      if (this.#loss.isLost(this.faults.loseAnswers)) return void req.socket.destroy()
      send(res, answer)
    } catch (err) {
      if (!res.headersSent) send(res, { status: 400, body: { error: String(err) } })
    }
  }

  #control(name: string, method: string, body: string): StandinAnswer {
    if (name === 'counters' && method === 'GET') return { status: 200, body: this.counters() }
    if (name !== 'faults' || method !== 'POST') return notFound
    const changes = JSON.parse(body) as Record<string, unknown>
    const current = this.faults as unknown as Record<string, unknown>
    const wrong = Object.keys(changes).filter(key => typeof changes[key] !== typeof current[key])
    // A switch with a wrong name or type would leave a test without its fault.
    if (wrong.length > 0) return { status: 400, body: { error: 'not a switch', wrong } }
    Object.assign(this.faults, changes)
    return { status: 200, body: this.faults }
  }
}

async function bodyOf(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of req) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString()
}

function send(res: ServerResponse, answer: StandinAnswer): void {
  const isText = typeof answer.body === 'string'
  const body = isText ? (answer.body as string) : JSON.stringify(answer.body)
  res.writeHead(answer.status, {
    'content-type': isText ? 'text/plain' : 'application/json',
    'content-length': Buffer.byteLength(body),
  })
  res.end(body)
}
