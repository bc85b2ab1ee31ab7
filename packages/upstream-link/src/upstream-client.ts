import { RequestError, type Clock } from '@bulrushbridge/errors'
import { Readable } from 'node:stream'
import { Connection } from './connection.js'
import { Exchange } from './exchange.js'
import { createSettlementPoller } from './settlement-poller.js'
import { addPeriodicCheck } from './periodic-checks.js'
import type {
  ResponseCallbacks,
  SendHooks,
  UpstreamResponse,
  UpstreamRequest,
} from './upstream-request.js'

/** Interval of health checks, in milliseconds. */
const healthCheckIntervalMs = 1_000
/** Longest time for a health check or a reading of `/running`, in milliseconds. */
const checkTimeoutMs = 1_000
/**
 * Time for which a health check is valid, from its start, in milliseconds. A process that was
 * paused for longer does not know whether the runner has begun to shut down, and must check again
 * before it sends: no work may start later than 3 s after the start of a shutdown.
 */
const healthValidMs = 2_500
/** Connections that are reserved for health checks and for reading `/running`. */
const connectionsForChecks = 2
/**
 * Connections idle for longer are closed, except one that is kept for health checks; milliseconds.
 */
const maxIdleMs = 10_000

/** Result of a health check. */
export type HealthCheckResult = 'ok' | 'shutting-down' | 'unreachable'

/** Options of {@link createUpstreamClient}. */
export interface UpstreamClientOptions {
  runner: { id: string; address: string }
  /** Most open connections to this runner; two of them are reserved for checks. */
  connections: number
  clock: Clock
  /** Called after each health check. */
  onHealthCheck?: ((health: HealthCheckResult) => void) | undefined
  /**
   * Called when connections that no longer respond were closed; `failed` is the number of requests
   * that failed with them.
   */
  onConnectionsRetired?: ((retired: { connections: number; failed: number }) => void) | undefined
}

/** Sends requests to one runner and manages the connections to it. */
export interface UpstreamClient {
  readonly runner: { id: string; address: string }
  send(req: UpstreamRequest, hooks?: SendHooks): Promise<UpstreamResponse>
  /** Resolves when the runner no longer lists the request as running, or its host is unlisted. */
  settled(id: string): Promise<void>
  /** Records that the host list no longer contains the runner's host, so nothing runs there. */
  markHostUnlisted(): void
  /** Number of open connections. */
  connectionCount(): number
  /** Refuses new requests, waits until all earlier ones have ended and settled, then closes. */
  close(): Promise<void>
}

/**
 * Creates the client of one runner; it opens connections when they are needed.
 *
 * @example
 * const client = createUpstreamClient({ runner, connections: 64, clock: systemClock })
 * const response = await client.send(req, { beforeWrite: () => view.assertConfirmed() })
 */
export function createUpstreamClient(opts: UpstreamClientOptions): UpstreamClient {
  return new HttpUpstreamClient(opts)
}

class HttpUpstreamClient implements UpstreamClient {
  readonly runner: { id: string; address: string }
  readonly #connections = new Set<Connection>()
  /** Ordered by last use; the last one was used most recently. */
  #idleConnections: Connection[] = []
  readonly #exchanges = new Set<Exchange>()
  readonly #settlementPoller = createSettlementPoller({ fetchRunning: () => this.#fetchRunning() })
  readonly #removePeriodicCheck: () => void
  #nextHealthCheckAt = 0
  #health: HealthCheckResult = 'ok'
  /** When the last completed health check started, whatever its result. */
  #lastCheckStartedAt: number
  #isCheckingHealth = false
  #isClosing = false
  #isHostUnlisted = false

  constructor(private readonly opts: UpstreamClientOptions) {
    this.runner = opts.runner
    this.#lastCheckStartedAt = opts.clock.now()
    this.#nextHealthCheckAt = this.#lastCheckStartedAt + healthCheckIntervalMs * Math.random()
    this.#removePeriodicCheck = addPeriodicCheck(() => {
      this.#runPeriodicChecks()
    })
  }

  async send(req: UpstreamRequest, hooks: SendHooks = {}): Promise<UpstreamResponse> {
    if (req.body instanceof Readable) await waitForFirstChunk(req.body, req.signal)
    if (this.#isClosing) throw new RequestError('shutting-down')
    if (req.signal?.aborted) throw new RequestError('caller-left')
    const now = this.opts.clock.now()
    const remainingMs = Math.ceil(req.deadline - now)
    if (remainingMs <= 0) throw new RequestError('deadline-passed')
    // The caller may have chosen this runner long ago, for example before a slow call to the store.
    if (this.#health === 'shutting-down' || now - this.#lastCheckStartedAt > healthValidMs) {
      throw new RequestError('no-upstream')
    }
    const conn = this.#takeConnection()
    if (!conn) throw new RequestError('no-upstream')
    return new Promise((resolve, reject) => {
      this.#startExchange(conn, req, hooks, remainingMs, { resolve, reject })
    })
  }

  #startExchange(
    conn: Connection,
    req: UpstreamRequest,
    hooks: SendHooks,
    remainingMs: number,
    callbacks: ResponseCallbacks,
  ): void {
    const exchange = new Exchange(req, conn, hooks, this.opts.clock, callbacks, this)
    this.#exchanges.add(exchange)
    hooks.onStart?.(() => {
      exchange.fail('caller-left')
    })
    const headers = [...req.headers, 'bulrush-request-id', req.id, 'bulrush-team', req.team]
    headers.push('bulrush-deadline', String(remainingMs))
    if (req.traceparent !== undefined) headers.push('traceparent', req.traceparent)
    const { method, path, body = null } = req
    conn.client.dispatch({ method, path, headers, body }, exchange)
  }

  /** Implements {@link ExchangeCallbacks}. */
  readonly onDone = (exchange: Exchange): void => {
    this.#exchanges.delete(exchange)
    this.#releaseConnection(exchange.conn)
  }

  /** Implements {@link ExchangeCallbacks}. */
  readonly onHeadersLate = (exchange: Exchange, isFullTimeout: boolean): void => {
    void this.#checkHealth(isFullTimeout ? exchange.req.id : undefined)
  }

  #takeConnection(): Connection | undefined {
    const limit = Math.max(1, this.opts.connections - connectionsForChecks)
    if (this.#exchanges.size >= limit) return undefined
    const conn =
      this.#idleConnections.pop() ?? (this.#canOpenConnection ? this.#openConnection() : undefined)
    if (!conn) return undefined
    conn.isBusy = true
    conn.lastUsedAt = this.opts.clock.now()
    return conn
  }

  get #canOpenConnection(): boolean {
    return this.#connections.size < this.opts.connections
  }

  #openConnection(): Connection {
    const conn = new Connection({
      address: this.runner.address,
      onClosed: closed => {
        this.#connections.delete(closed)
        this.#idleConnections = this.#idleConnections.filter(other => other !== closed)
      },
    })
    this.#connections.add(conn)
    return conn
  }

  #releaseConnection(conn: Connection): void {
    conn.isBusy = false
    if (!conn.isClosed) this.#idleConnections.push(conn)
  }

  #runPeriodicChecks(): void {
    const now = this.opts.clock.now()
    for (const exchange of this.#exchanges) exchange.checkProgress(now)
    if (now < this.#nextHealthCheckAt) return
    this.#nextHealthCheckAt = now + healthCheckIntervalMs
    for (const conn of this.#idleConnections.slice(0, -1))
      if (now - conn.lastUsedAt > maxIdleMs) conn.destroy()
    void this.#checkHealth()
  }

  /**
   * Checks the health of the runner over the connection that has been idle longest. When it gets no
   * response there, no connection is idle, or a request was late, it checks over a new connection
   * too. If the new one works, all older ones are closed when the check of the old one timed out or
   * when the late request was lost.
   */
  async #checkHealth(lateRequestId?: string): Promise<void> {
    if (this.#isCheckingHealth || this.#isClosing) return
    this.#isCheckingHealth = true
    try {
      const idle = this.#idleConnections.shift()
      let result = idle ? await this.#checkHealthOver(idle) : 'unreachable'
      if (!hasResponded(result) || lateRequestId !== undefined) {
        const wasSilent = result === 'silent'
        if (!this.#canOpenConnection) this.#idleConnections.shift()?.destroy()
        if (!this.#canOpenConnection) return
        const newConn = this.#openConnection()
        result = await this.#checkHealthOver(newConn)
        if (
          hasResponded(result) &&
          (wasSilent || (await this.#isRequestLost(newConn, lateRequestId)))
        ) {
          this.#retireOlderConnections(newConn)
        }
      }
      this.#health = hasResponded(result) ? result : 'unreachable'
      this.opts.onHealthCheck?.(this.#health)
    } finally {
      this.#isCheckingHealth = false
    }
  }

  /** True when the runner does not list a late request: the request or its response was lost. */
  async #isRequestLost(conn: Connection, id: string | undefined): Promise<boolean> {
    if (id === undefined) return false
    const running = await this.#fetchRunning(conn).catch(() => undefined)
    return running !== undefined && !running.has(id)
  }

  async #checkHealthOver(conn: Connection): Promise<HealthCheckResult | 'silent'> {
    conn.isBusy = true
    const startedAt = this.opts.clock.now()
    try {
      const { status } = await conn.get('/health', checkTimeoutMs)
      this.#releaseConnection(conn)
      return status === 200 ? 'ok' : 'shutting-down'
    } catch (err) {
      conn.destroy()
      // A refused or closed connection says nothing about the others; a timeout may affect them
      // too.
      return (err as Error).name === 'TimeoutError' ? 'silent' : 'unreachable'
    } finally {
      this.#lastCheckStartedAt = startedAt
    }
  }

  #retireOlderConnections(newConn: Connection): void {
    const olderConns = [...this.#connections].filter(conn => conn.openOrder < newConn.openOrder)
    const lostExchanges = [...this.#exchanges].filter(
      ({ conn }) => conn.openOrder < newConn.openOrder,
    )
    if (olderConns.length === 0) return
    for (const exchange of lostExchanges) {
      exchange.fail('upstream-failed', new Error('the connection to the runner stopped responding'))
    }
    for (const conn of olderConns) conn.destroy()
    this.opts.onConnectionsRetired?.({
      connections: olderConns.length,
      failed: lostExchanges.length,
    })
  }

  async #fetchRunning(existing?: Connection): Promise<Set<string>> {
    const conn =
      existing ??
      this.#idleConnections.pop() ??
      (this.#canOpenConnection ? this.#openConnection() : undefined)
    if (!conn) throw new Error('all connections to the runner are in use')
    conn.isBusy = true
    try {
      const { status, body } = await conn.get('/running', checkTimeoutMs)
      if (status !== 200 || !Array.isArray(body))
        throw new TypeError('the runner did not return a list of running requests')
      this.#releaseConnection(conn)
      return new Set(body as string[])
    } catch (err) {
      conn.destroy()
      throw err
    }
  }

  settled(id: string): Promise<void> {
    return this.#isHostUnlisted ? Promise.resolve() : this.#settlementPoller.settled(id)
  }

  markHostUnlisted(): void {
    this.#isHostUnlisted = true
    for (const exchange of this.#exchanges) exchange.fail('upstream-failed')
    this.#settlementPoller.resolveAll()
  }

  connectionCount(): number {
    return this.#connections.size
  }

  async close(): Promise<void> {
    this.#isClosing = true
    while (this.#exchanges.size > 0 || this.#settlementPoller.size > 0) {
      await new Promise(resolve => setTimeout(resolve, 20))
    }
    this.#removePeriodicCheck()
    for (const conn of this.#connections) conn.destroy()
  }
}

function hasResponded(result: HealthCheckResult | 'silent'): result is 'ok' | 'shutting-down' {
  return result === 'ok' || result === 'shutting-down'
}

/**
 * Waits for the first chunk of a streamed body, so that the first byte of the request is written no
 * later than one tick after `beforeWrite`.
 */
async function waitForFirstChunk(body: Readable, signal?: AbortSignal): Promise<void> {
  if (body.readableLength > 0 || body.readableEnded) return
  await new Promise<void>((resolve, reject) => {
    const done = (): void => {
      for (const event of ['readable', 'end', 'close', 'error']) body.off(event, done)
      signal?.removeEventListener('abort', done)
      if (body.errored || body.destroyed || signal?.aborted) reject(new RequestError('caller-left'))
      else resolve()
    }
    for (const event of ['readable', 'end', 'close', 'error']) body.on(event, done)
    signal?.addEventListener('abort', done)
  })
}
