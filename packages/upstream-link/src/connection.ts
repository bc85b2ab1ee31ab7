import type { Socket } from 'node:net'
import { buildConnector, Client } from 'undici'

/** Longest time for establishing a TCP connection, in milliseconds. */
const connectTimeoutMs = 2_000
/** Idle time after which undici closes a connection, in milliseconds. */
const keepAliveTimeoutMs = 30_000

const connector = buildConnector({ timeout: connectTimeoutMs })
let openedCount = 0

/** Options of {@link Connection}. */
export interface ConnectionOptions {
  address: string
  /** Called once, when the connection can no longer be used. */
  onClosed: (conn: Connection) => void
}

/** One connection to a runner, which carries one request at a time. */
export class Connection {
  readonly client: Client
  /** Position in the order in which the process opened its connections; a lower one is older. */
  openOrder = ++openedCount
  /** When a request last took the connection, on the client's clock. */
  lastUsedAt = 0
  isBusy = false
  isClosed = false
  socket: Socket | undefined
  readonly #onClosed: (conn: Connection) => void

  constructor({ address, onClosed }: ConnectionOptions) {
    this.#onClosed = onClosed
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: keepAliveTimeoutMs,
      // Exchanges check their progress themselves, because undici's timers know no request
      // deadlines.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (opts, done) => {
        this.openOrder = ++openedCount
        connector(opts, (...args) => {
          if (args[0] === null) this.socket = args[1]
          done(...args)
        })
      },
    })
    // undici moves a request to a new socket when the old one closes before a byte was written, so
    // a connection with a request is left open here.
    this.client.on('disconnect', () => {
      if (!this.isBusy) this.destroy()
    })
  }

  /** Bytes handed to the socket so far, including those not yet sent. */
  get bytesWritten(): number {
    return this.socket?.bytesWritten ?? 0
  }

  /**
   * Closes at once. The TCP reset drops unsent bytes, which would otherwise still reach the runner.
   */
  destroy(): void {
    if (this.isClosed) return
    this.isClosed = true
    // From `end` until the FIN has been sent, a reset fails with EINVAL and leaves the handle open.
    if (this.socket?.writableEnded === true) this.socket.destroy()
    else this.socket?.resetAndDestroy()
    this.client.destroy().catch(() => undefined)
    this.#onClosed(this)
  }

  /** Sends a GET that belongs to no caller, such as a health check, and reads the JSON response. */
  async get(path: string, timeoutMs: number): Promise<{ status: number; body: unknown }> {
    const signal = AbortSignal.timeout(timeoutMs)
    const res = await this.client.request({ method: 'GET', path, signal })
    return { status: res.statusCode, body: await res.body.json() }
  }
}
