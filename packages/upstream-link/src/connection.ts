import type { Socket } from 'node:net'
import { buildConnector, Client } from 'undici'

/** Limit of a TCP connect, in milliseconds. */
const connectMs = 2_000
/** undici closes connections that idle for longer than this, in milliseconds. */
const keepAliveMs = 30_000

const connector = buildConnector({ timeout: connectMs })
let opened = 0

/** Options of {@link Connection}. */
export interface ConnectionOptions {
  address: string
  /** Called once, when the connection can no longer be used. */
  onClosed: (conn: Connection) => void
}

/** One connection to a runner; it carries one request at a time. */
export class Connection {
  readonly client: Client
  /** Order of opening over the process; the age of the connection. */
  order = ++opened
  /** When a request last used it, on the link's clock. */
  usedAt = 0
  busy = false
  closed = false
  socket: Socket | undefined
  readonly #onClosed: (conn: Connection) => void

  constructor({ address, onClosed }: ConnectionOptions) {
    this.#onClosed = onClosed
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: keepAliveMs,
      // The link checks progress itself; undici's timers know no deadlines.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (opts, done) => {
        this.order = ++opened
        connector(opts, (...args) => {
          if (args[0] === null) this.socket = args[1]
          done(...args)
        })
      },
    })
    // A request that waits on a socket which closes before a byte was written moves to a new one.
    this.client.on('disconnect', () => {
      if (!this.busy) this.destroy()
    })
  }

  /** Bytes handed to the socket so far, including those not yet sent. */
  get bytesWritten(): number {
    return this.socket?.bytesWritten ?? 0
  }

  /** Closes at once. A reset drops unsent bytes, which would otherwise still reach the runner. */
  destroy(): void {
    if (this.closed) return
    this.closed = true
    // While the end of a socket is being sent, a reset fails with EINVAL and leaves its handle open.
    if (this.socket?.writableEnded === true) this.socket.destroy()
    else this.socket?.resetAndDestroy()
    this.client.destroy().catch(() => undefined)
    this.#onClosed(this)
  }

  /** Performs a small GET outside the request path, such as a health check. */
  async get(path: string, limitMs: number): Promise<{ status: number; body: unknown }> {
    const signal = AbortSignal.timeout(limitMs)
    const res = await this.client.request({ method: 'GET', path, signal })
    return { status: res.statusCode, body: await res.body.json() }
  }
}
