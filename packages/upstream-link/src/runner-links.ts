import { RequestError, type Clock } from '@bulrushbridge/errors'
import { Readable } from 'node:stream'
import { Connection } from './connection.js'
import { Exchange } from './exchange.js'
import { createSettlement } from './settlement.js'
import { addSweep } from './sweeper.js'
import type { AnswerSink, SendHooks, UpstreamAnswer, UpstreamRequest } from './upstream-request.js'

/** Interval of health checks, in milliseconds. */
const healthMs = 1_000
/** Limit of a health check or a reading of `/running`, in milliseconds. */
const probeMs = 1_000
/**
 * Time for which a health check counts, from its start, in milliseconds. A process that was paused
 * for longer does not know whether the runner has begun its shutdown, and must check again before it
 * sends: no work may start 3 s after a shutdown began.
 */
const healthValidMs = 2_500
/** Connections that requests leave to the health check and to the reading of `/running`. */
const reservedConnections = 2
/** Connections idle for longer are closed, but for one that serves the health checks. */
const idleMs = 10_000

/** What the last health check found. */
export type RunnerHealth = 'ok' | 'shutting-down' | 'unreachable'

/** Options of {@link createRunnerLinks}. */
export interface RunnerLinksOptions {
  runner: { id: string; address: string }
  /** Most connections open to this runner, two of which are for checks. */
  connections: number
  clock: Clock
  /** Called after each health check. */
  onHealth?: ((health: RunnerHealth) => void) | undefined
  /** Called when silent connections were retired. */
  onRetired?: ((retired: { connections: number; failed: number }) => void) | undefined
}

/** The connections to one runner. */
export interface RunnerLinks {
  readonly runner: { id: string; address: string }
  send(req: UpstreamRequest, hooks?: SendHooks): Promise<UpstreamAnswer>
  /** Resolves when the runner no longer lists the request, or is confirmed gone. */
  settled(id: string): Promise<void>
  /** Declares that the runner's host has gone, as the host list says; nothing runs there. */
  confirmGone(): void
  /** Open connections. */
  size(): number
  /** Waits for exchanges and settlements, then closes. */
  close(): Promise<void>
}

/**
 * Creates the connections to one runner; they open when they are needed.
 *
 * @example
 * const links = createRunnerLinks({ runner, connections: 64, clock: systemClock })
 * const answer = await links.send(req, { beforeWrite: () => view.assertConfirmed() })
 */
export function createRunnerLinks(opts: RunnerLinksOptions): RunnerLinks {
  return new Links(opts)
}

class Links implements RunnerLinks {
  readonly runner: { id: string; address: string }
  readonly #all = new Set<Connection>()
  /** The last one was used most recently. */
  #idle: Connection[] = []
  readonly #exchanges = new Set<Exchange>()
  readonly #settlement = createSettlement({ readRunning: () => this.#readRunning() })
  readonly #removeSweep: () => void
  #healthAt = 0
  #health: RunnerHealth = 'ok'
  /** Start of the last health check that has ended, whatever it found. */
  #checkedAt: number
  #probing = false
  #closing = false
  #gone = false

  constructor(private readonly opts: RunnerLinksOptions) {
    this.runner = opts.runner
    this.#checkedAt = opts.clock.now()
    this.#healthAt = this.#checkedAt + healthMs * Math.random()
    this.#removeSweep = addSweep(() => {
      this.#sweep()
    })
  }

  async send(req: UpstreamRequest, hooks: SendHooks = {}): Promise<UpstreamAnswer> {
    if (req.body instanceof Readable) await firstChunk(req.body, req.signal)
    if (this.#closing) throw new RequestError('shutting-down')
    if (req.signal?.aborted) throw new RequestError('caller-left')
    const now = this.opts.clock.now()
    const left = Math.ceil(req.deadline - now)
    if (left <= 0) throw new RequestError('deadline-passed')
    // The slot may have been reserved long ago, for example before a slow call to the store.
    if (this.#health === 'shutting-down' || now - this.#checkedAt > healthValidMs) {
      throw new RequestError('no-upstream')
    }
    const conn = this.#take()
    if (!conn) throw new RequestError('no-upstream')
    return new Promise((resolve, reject) => {
      this.#start(conn, req, hooks, left, { resolve, reject })
    })
  }

  #start(
    conn: Connection,
    req: UpstreamRequest,
    hooks: SendHooks,
    left: number,
    sink: AnswerSink,
  ): void {
    const exchange = new Exchange(req, conn, hooks, this.opts.clock, sink, this)
    this.#exchanges.add(exchange)
    hooks.onStart?.(() => {
      exchange.fail('caller-left')
    })
    const headers = [...req.headers, 'bulrush-request-id', req.id, 'bulrush-team', req.team]
    headers.push('bulrush-deadline', String(left))
    if (req.traceparent !== undefined) headers.push('traceparent', req.traceparent)
    const { method, path, body = null } = req
    conn.client.dispatch({ method, path, headers, body }, exchange)
  }

  /** {@link Exchange} event. */
  readonly onDone = (exchange: Exchange): void => {
    this.#exchanges.delete(exchange)
    this.#putBack(exchange.conn)
  }

  /** {@link Exchange} event. */
  readonly onLate = (exchange: Exchange, full: boolean): void => {
    void this.#probe(full ? exchange.req.id : undefined)
  }

  #take(): Connection | undefined {
    const limit = Math.max(1, this.opts.connections - reservedConnections)
    if (this.#exchanges.size >= limit) return undefined
    const conn = this.#idle.pop() ?? (this.#hasRoom ? this.#open() : undefined)
    if (!conn) return undefined
    conn.busy = true
    conn.usedAt = this.opts.clock.now()
    return conn
  }

  get #hasRoom(): boolean {
    return this.#all.size < this.opts.connections
  }

  #open(): Connection {
    const conn = new Connection({
      address: this.runner.address,
      onClosed: closed => {
        this.#all.delete(closed)
        this.#idle = this.#idle.filter(each => each !== closed)
      },
    })
    this.#all.add(conn)
    return conn
  }

  #putBack(conn: Connection): void {
    conn.busy = false
    if (!conn.closed) this.#idle.push(conn)
  }

  #sweep(): void {
    const now = this.opts.clock.now()
    for (const exchange of this.#exchanges) exchange.sweep(now)
    if (now < this.#healthAt) return
    this.#healthAt = now + healthMs
    for (const conn of this.#idle.slice(0, -1)) if (now - conn.usedAt > idleMs) conn.destroy()
    void this.#probe()
  }

  /**
   * Checks the runner over the longest idle connection and, when that one gives no answer, there is
   * none, or a request was late, over a new one as well.
   */
  async #probe(lateId?: string): Promise<void> {
    if (this.#probing || this.#closing) return
    this.#probing = true
    try {
      const old = this.#idle.shift()
      let found = old ? await this.#check(old) : 'unreachable'
      if (!isAnswer(found) || lateId !== undefined) {
        const wasSilent = found === 'silent'
        if (!this.#hasRoom) this.#idle.shift()?.destroy()
        if (!this.#hasRoom) return
        const fresh = this.#open()
        found = await this.#check(fresh)
        if (isAnswer(found) && (wasSilent || (await this.#isLost(fresh, lateId)))) {
          this.#retire(fresh)
        }
      }
      this.#health = isAnswer(found) ? found : 'unreachable'
      this.opts.onHealth?.(this.#health)
    } finally {
      this.#probing = false
    }
  }

  /** True when a late request is neither answered nor in progress: its connection was silent. */
  async #isLost(conn: Connection, id: string | undefined): Promise<boolean> {
    if (id === undefined) return false
    const running = await this.#readRunning(conn).catch(() => undefined)
    return running !== undefined && !running.has(id)
  }

  async #check(conn: Connection): Promise<RunnerHealth | 'silent'> {
    conn.busy = true
    const startedAt = this.opts.clock.now()
    try {
      const { status } = await conn.get('/health', probeMs)
      this.#putBack(conn)
      return status === 200 ? 'ok' : 'shutting-down'
    } catch (err) {
      conn.destroy()
      // A closed connection says nothing about the others; one that times out may be silent.
      return (err as Error).name === 'TimeoutError' ? 'silent' : 'unreachable'
    } finally {
      this.#checkedAt = startedAt
    }
  }

  #retire(fresh: Connection): void {
    const older = [...this.#all].filter(conn => conn.order < fresh.order)
    const lost = [...this.#exchanges].filter(({ conn }) => conn.order < fresh.order)
    if (older.length === 0) return
    for (const exchange of lost) {
      exchange.fail('upstream-failed', new Error('the connection went silent'))
    }
    for (const conn of older) conn.destroy()
    this.opts.onRetired?.({ connections: older.length, failed: lost.length })
  }

  async #readRunning(given?: Connection): Promise<Set<string>> {
    const conn = given ?? this.#idle.pop() ?? (this.#hasRoom ? this.#open() : undefined)
    if (!conn) throw new Error('all connections are in use')
    conn.busy = true
    try {
      const { status, body } = await conn.get('/running', probeMs)
      if (status !== 200 || !Array.isArray(body)) throw new TypeError('no list of running requests')
      this.#putBack(conn)
      return new Set(body as string[])
    } catch (err) {
      conn.destroy()
      throw err
    }
  }

  settled(id: string): Promise<void> {
    return this.#gone ? Promise.resolve() : this.#settlement.settled(id)
  }

  confirmGone(): void {
    this.#gone = true
    for (const exchange of this.#exchanges) exchange.fail('upstream-failed')
    this.#settlement.resolveAll()
  }

  size(): number {
    return this.#all.size
  }

  async close(): Promise<void> {
    this.#closing = true
    while (this.#exchanges.size > 0 || this.#settlement.size > 0) {
      await new Promise(resolve => setTimeout(resolve, 20))
    }
    this.#removeSweep()
    for (const conn of this.#all) conn.destroy()
  }
}

function isAnswer(found: RunnerHealth | 'silent'): found is 'ok' | 'shutting-down' {
  return found === 'ok' || found === 'shutting-down'
}

/** Waits for the first chunk, so that the first byte follows `beforeWrite` within a tick. */
async function firstChunk(body: Readable, signal?: AbortSignal): Promise<void> {
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
