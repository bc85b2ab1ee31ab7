import { randomUUID } from 'node:crypto'
import { systemClock, type Clock } from '@bulrushbridge/errors'
import { Agent, request } from 'undici'
import { StoreError } from './store-error.js'
import type {
  CallOptions,
  CommitResult,
  Row,
  ScanOptions,
  TableService,
  Transaction,
} from './table-service.js'

/** Used when a call gives no deadline. */
const defaultCallMs = 2_000

/** Pause between two reads of a token whose transaction got no answer. */
const readBackPauseMs = 50

/** Options of {@link createHttpTableService}. */
export interface HttpTableServiceOptions {
  /** Base URL, such as `http://127.0.0.9:7000`. */
  url: string
  clock?: Clock
}

/**
 * Connects to the table service over HTTP.
 *
 * @example
 * const table = createHttpTableService({ url: 'http://127.0.0.9:7000' })
 * const head = await table.read('config', 'head')
 */
export function createHttpTableService(opts: HttpTableServiceOptions): TableService {
  return new HttpTableService(opts)
}

class HttpTableService implements TableService {
  readonly #url: string
  readonly #clock: Clock
  readonly #agent = new Agent({ connections: 8, pipelining: 1 })

  constructor(opts: HttpTableServiceOptions) {
    this.#url = opts.url.replace(/\/$/, '')
    this.#clock = opts.clock ?? systemClock
  }

  async read<T>(table: string, key: string, opts: CallOptions = {}): Promise<Row<T> | undefined> {
    const path = `/tables/${encodeURIComponent(table)}/${encodeURIComponent(key)}`
    const answer = await this.#call('GET', path, undefined, this.#deadline(opts))
    if (answer.status === 404) return undefined
    return answer.body as Row<T>
  }

  async scan<T>(table: string, opts: ScanOptions = {}): Promise<Row<T>[]> {
    const query = new URLSearchParams()
    if (opts.from !== undefined) query.set('from', opts.from)
    if (opts.to !== undefined) query.set('to', opts.to)
    if (opts.limit !== undefined) query.set('limit', String(opts.limit))
    const path = `/tables/${encodeURIComponent(table)}?${query.toString()}`
    const answer = await this.#call('GET', path, undefined, this.#deadline(opts))
    return answer.body as Row<T>[]
  }

  async commit(tx: Transaction, opts: CallOptions = {}): Promise<CommitResult> {
    const token = randomUUID()
    const deadline = this.#deadline(opts)
    // Half of the time is kept for reading back the token if the answer is lost.
    const firstDeadline = (this.#clock.now() + deadline) / 2
    try {
      const answer = await this.#call('POST', '/transactions', { ...tx, token }, firstDeadline)
      return answer.body as CommitResult
    } catch (err) {
      return this.#readBack(token, deadline, err)
    }
  }

  async close(): Promise<void> {
    await this.#agent.destroy()
  }

  #deadline(opts: CallOptions): number {
    return opts.deadline ?? this.#clock.now() + defaultCallMs
  }

  /** The service fences a token that it reports as unknown, so a late transaction cannot follow. */
  async #readBack(token: string, deadline: number, cause: unknown): Promise<CommitResult> {
    while (this.#clock.now() < deadline) {
      try {
        const answer = await this.#call('GET', `/tokens/${token}`, undefined, deadline)
        if (answer.status === 200) return answer.body as CommitResult
        throw new StoreError('the transaction did not take effect', { cause })
      } catch (err) {
        if (err instanceof StoreError && err.message === 'the transaction did not take effect') {
          throw err
        }
        await new Promise(resolve => setTimeout(resolve, readBackPauseMs))
      }
    }
    throw new StoreError('the result of the transaction is unknown', { settled: false, cause })
  }

  async #call(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    deadline: number,
  ): Promise<{ status: number; body: unknown }> {
    const leftMs = deadline - this.#clock.now()
    if (leftMs <= 0) throw new StoreError('the deadline passed')
    const signal = AbortSignal.timeout(Math.ceil(leftMs))
    try {
      const res = await request(this.#url + path, {
        method,
        dispatcher: this.#agent,
        signal,
        ...(body === undefined
          ? {}
          : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
      })
      const parsed: unknown = await res.body.json()
      if (res.statusCode >= 500)
        throw new StoreError(`the table service answered ${res.statusCode}`)
      return { status: res.statusCode, body: parsed }
    } catch (err) {
      if (err instanceof StoreError) throw err
      throw new StoreError('the table service does not answer', { cause: err })
    }
  }
}
