import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import { chooseConnectionToClose, type ClientLimits, type LimitCause } from './client-limits.js'
import { LimitedConnection } from './limited-connection.js'
import { createUsageCounter } from './usage-counter.js'

/** Interval of the check for connections that do not read, in milliseconds. */
const checkIntervalMs = 1_000

/** Reports of a {@link ConnectionLimiter}. */
export interface LimiterOptions {
  limits: ClientLimits
  /** Called for each connection that is closed and each request that is rejected. */
  onLimit: (cause: LimitCause, address: string) => void
}

/** What a server does with a request: handle it, reject it, or leave it without a response. */
export type Admission = 'admitted' | 'ignored' | Extract<LimitCause, `requests-${string}`>

/** Keeps what clients make a server hold under its bounds. */
export interface ConnectionLimiter {
  /**
   * Counts a request until its response is delivered. Must be called first for each request. One that
   * is `ignored` follows a request after which its connection is closed.
   */
  admit(req: IncomingMessage, res: ServerResponse): Admission
  /**
   * Notes that the response to an admitted or rejected request has been written, or that its handler has
   * ended. Must be called for each: a handler that goes on after its connection has ended still counts.
   */
  answered(req: IncomingMessage, res: ServerResponse): void
  /** Reads no more requests of the connection; the response in progress is its last one. */
  closeAfterResponse(req: IncomingMessage): void
  /** Numbers of what is held now. */
  held(): { connections: number; requests: number; unreadResponses: number; unparsedBytes: number }
  close(): void
}

/**
 * Limits the connections and requests of a server.
 *
 * @example
 * const limiter = limitConnections(server, { limits, onLimit: cause => metrics.count(name, { cause }) })
 */
export function limitConnections(server: Server, opts: LimiterOptions): ConnectionLimiter {
  return new ServerConnections(server, opts)
}

class ServerConnections implements ConnectionLimiter {
  readonly #opts: LimiterOptions
  readonly #connections = new Map<Socket, LimitedConnection>()
  readonly #connectionUsage
  readonly #requestUsage
  /** Ends the count of a request in progress. */
  readonly #releases = new WeakMap<ServerResponse, () => void>()
  readonly #timer: NodeJS.Timeout
  #unreadResponses = 0
  #unparsedBytes = 0

  constructor(server: Server, opts: LimiterOptions) {
    const { limits } = opts
    this.#opts = opts
    this.#connectionUsage = createUsageCounter({
      max: limits.maxConnections,
      maxPerAddress: limits.maxAddressConnections,
    })
    this.#requestUsage = createUsageCounter({
      max: limits.maxRequests,
      maxPerAddress: limits.maxAddressRequests,
    })
    server.on('connection', (socket: Socket) => {
      this.#accept(socket)
    })
    // The response to a malformed request is the last one of its connection.
    server.on('clientError', (_err, socket) => {
      if (socket instanceof Socket) this.#connections.get(socket)?.stopReading()
    })
    this.#timer = setInterval(() => {
      this.#check(performance.now())
    }, checkIntervalMs).unref()
  }

  admit(req: IncomingMessage, res: ServerResponse): Admission {
    const connection = this.#connections.get(req.socket)
    if (connection === undefined || req.socket.destroyed || connection.isClosing) return 'ignored'
    const { address } = connection
    const exceeded = this.#requestUsage.tryAdd(address)
    if (exceeded === undefined) {
      const release = () => {
        if (this.#releases.delete(res)) this.#requestUsage.remove(address)
      }
      this.#releases.set(res, release)
      connection.add(req, res, release)
      return 'admitted'
    }
    connection.add(req, res, () => undefined)
    const cause = exceeded === 'address' ? 'requests-of-address' : 'requests-of-process'
    this.#opts.onLimit(cause, address)
    return cause
  }

  answered(req: IncomingMessage, res: ServerResponse): void {
    this.#connections.get(req.socket)?.answered(res)
    this.#releases.get(res)?.()
  }

  closeAfterResponse(req: IncomingMessage): void {
    this.#connections.get(req.socket)?.stopReading()
  }

  held() {
    return {
      connections: this.#connections.size,
      requests: this.#requestUsage.total,
      unreadResponses: this.#unreadResponses,
      unparsedBytes: this.#unparsedBytes,
    }
  }

  close(): void {
    clearInterval(this.#timer)
  }

  #accept(socket: Socket): void {
    const { limits } = this.#opts
    const address = socket.remoteAddress
    // The client has closed the connection before it was accepted.
    if (address === undefined) {
      socket.destroy()
      return
    }
    const exceeded = this.#connectionUsage.tryAdd(address)
    if (exceeded !== undefined) {
      const choice = chooseConnectionToClose(this.#connections.values(), {
        address: exceeded === 'address' ? address : undefined,
        closesBusy: limits.closesBusyConnections,
      })
      if (choice === undefined) {
        this.#opts.onLimit('connection-refused', address)
        socket.destroy()
        return
      }
      this.#close(choice.connection, choice.cause)
      this.#connectionUsage.add(address)
    }
    const connection = new LimitedConnection(socket, performance.now(), {
      maxPipelinedRequests: limits.maxPipelinedRequests,
      onHeldBytes: change => {
        this.#unparsedBytes += change
        if (change > 0 && this.#unparsedBytes > limits.maxUnparsedBytes)
          this.#close(connection, 'bytes-unparsed-of-process')
      },
      onUnread: change => {
        this.#unreadResponses += change
        if (change > 0 && this.#unreadResponses > limits.maxUnreadResponses) this.#closeMostUnread()
      },
    })
    this.#connections.set(socket, connection)
    socket.once('close', () => {
      this.#forget(connection)
    })
  }

  #check(now: number): void {
    for (const connection of this.#connections.values()) {
      if (connection.check(now) > this.#opts.limits.maxUnreadMs)
        this.#close(connection, 'responses-unread')
    }
  }

  #closeMostUnread(): void {
    let most: LimitedConnection | undefined
    for (const connection of this.#connections.values()) {
      if (connection.unreadResponses > (most?.unreadResponses ?? 0)) most = connection
    }
    if (most !== undefined) this.#close(most, 'responses-unread-of-process')
  }

  #close(connection: LimitedConnection, cause: LimitCause): void {
    // Its end is reported later, when it may have been chosen a second time.
    if (!this.#forget(connection)) return
    this.#opts.onLimit(cause, connection.address)
    connection.socket.destroy()
  }

  #forget(connection: LimitedConnection): boolean {
    if (!this.#connections.delete(connection.socket)) return false
    this.#connectionUsage.remove(connection.address)
    connection.release()
    return true
  }
}
