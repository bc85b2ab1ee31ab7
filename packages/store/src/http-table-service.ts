import { randomUUID } from 'node:crypto'
import { systemClock, type Clock } from '@bulrushbridge/errors'
import { HttpClient, parseAnswer, type HttpAnswer } from './http-client.js'
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
export const defaultCallMs = 2_000

/** Longest attempt to read a token back, so that one silent connection does not use up the time. */
const readBackAttemptMs = 250

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
  readonly #http: HttpClient
  readonly #clock: Clock

  constructor(opts: HttpTableServiceOptions) {
    this.#clock = opts.clock ?? systemClock
    this.#http = new HttpClient(opts.url, this.#clock)
  }

  async read<T>(table: string, key: string, opts: CallOptions = {}): Promise<Row<T> | undefined> {
    const path = `/tables/${encodeURIComponent(table)}/${encodeURIComponent(key)}`
    const answer = await this.#get(path, this.#deadline(opts))
    if (answer.status === 404) return undefined
    return parseAnswer(expectOk(answer)) as Row<T>
  }

  async scan<T>(table: string, opts: ScanOptions = {}): Promise<Row<T>[]> {
    const query = new URLSearchParams()
    if (opts.from !== undefined) query.set('from', opts.from)
    if (opts.to !== undefined) query.set('to', opts.to)
    if (opts.limit !== undefined) query.set('limit', String(opts.limit))
    const path = `/tables/${encodeURIComponent(table)}?${query.toString()}`
    const answer = await this.#get(path, this.#deadline(opts))
    return parseAnswer(expectOk(answer)) as Row<T>[]
  }

  async commit(tx: Transaction, opts: CallOptions = {}): Promise<CommitResult> {
    const token = randomUUID()
    const deadline = this.#deadline(opts)
    const body = JSON.stringify({ checks: tx.checks, writes: tx.writes, token })
    // Half of the time is kept for reading back the token if the answer is lost.
    const firstDeadline = (this.#clock.now() + deadline) / 2
    if (this.#clock.now() >= firstDeadline) throw new StoreError('the deadline passed')
    let answer: HttpAnswer
    try {
      const call = { method: 'POST', path: '/transactions', body, deadline: firstDeadline } as const
      answer = await this.#http.call(call)
      if (answer.status === 200 || answer.status === 409) return asResult(answer)
    } catch (err) {
      return this.#readBack(token, deadline, err)
    }
    throw new StoreError(`the transaction was refused with ${answer.status}`)
  }

  async close(): Promise<void> {
    await this.#http.close()
  }

  #deadline(opts: CallOptions): number {
    return opts.deadline ?? this.#clock.now() + defaultCallMs
  }

  #get(path: string, deadline: number): Promise<HttpAnswer> {
    return this.#http.callTwice({ method: 'GET', path, deadline })
  }

  /**
   * Settles a transaction without an answer. The service fences a token that it reports as
   * unknown, so the transaction cannot take effect afterwards and 404 is final.
   */
  async #readBack(token: string, deadline: number, cause: unknown): Promise<CommitResult> {
    while (this.#clock.now() < deadline) {
      const attemptDeadline = Math.min(deadline, this.#clock.now() + readBackAttemptMs)
      const result = await this.#readToken(token, attemptDeadline)
      if (result === 'fenced') {
        throw new StoreError('the transaction did not take effect', { cause })
      }
      if (result !== undefined) return result
      await this.#http.pause(deadline)
    }
    throw new StoreError('the result of the transaction is unknown', { settled: false, cause })
  }

  /** The token's result, or undefined when this attempt failed. */
  async #readToken(token: string, deadline: number): Promise<CommitResult | 'fenced' | undefined> {
    try {
      const answer = await this.#http.call({ method: 'GET', path: `/tokens/${token}`, deadline })
      if (answer.status === 404) return 'fenced'
      return answer.status === 200 ? asResult(answer) : undefined
    } catch {
      return undefined
    }
  }
}

function expectOk(answer: HttpAnswer): HttpAnswer {
  if (answer.status === 200) return answer
  throw new StoreError(`the table service answered ${answer.status}`)
}

/** An answer that is no result counts as lost, so that its token is read back. */
function asResult(answer: HttpAnswer): CommitResult {
  const body = parseAnswer(answer) as Partial<CommitResult> | null
  if (body?.committed === true) return { committed: true }
  if (body?.committed === false && Array.isArray(body.failed)) {
    return { committed: false, failed: body.failed }
  }
  throw new StoreError('the table service answered a malformed result')
}
