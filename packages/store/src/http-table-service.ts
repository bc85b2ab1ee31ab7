import { randomUUID } from 'node:crypto'
import { systemClock, type Clock } from '@bulrushbridge/errors'
import {
  StorageHttpClient,
  parseJsonResponse,
  type StorageResponse,
} from './storage-http-client.js'
import { StoreError } from './store-error.js'
import type {
  CallOptions,
  CommitResult,
  Row,
  ScanOptions,
  TableService,
  Transaction,
} from './table-service.js'

/** Time limit of a call without a deadline, in milliseconds. */
export const defaultCallTimeoutMs = 2_000

/**
 * Time limit of one attempt to read a token back, in milliseconds, so that one silent connection
 * does not use up the time that is left.
 */
const readBackAttemptTimeoutMs = 250

/** Options of {@link createHttpTableService}. */
export interface HttpTableServiceOptions {
  /** Base URL, such as `http://127.0.0.9:7000`. */
  url: string
  clock?: Clock
}

/**
 * Creates a client of the table service over HTTP.
 *
 * @example
 * const table = createHttpTableService({ url: 'http://127.0.0.9:7000' })
 * const head = await table.read('config', 'head')
 */
export function createHttpTableService(opts: HttpTableServiceOptions): TableService {
  return new HttpTableService(opts)
}

class HttpTableService implements TableService {
  readonly #http: StorageHttpClient
  readonly #clock: Clock

  constructor(opts: HttpTableServiceOptions) {
    this.#clock = opts.clock ?? systemClock
    this.#http = new StorageHttpClient(opts.url, this.#clock)
  }

  async read<T>(table: string, key: string, opts: CallOptions = {}): Promise<Row<T> | undefined> {
    const path = `/tables/${encodeURIComponent(table)}/${encodeURIComponent(key)}`
    const response = await this.#get(path, this.#deadline(opts))
    if (response.status === 404) return undefined
    return parseJsonResponse(expectOk(response)) as Row<T>
  }

  async scan<T>(table: string, opts: ScanOptions = {}): Promise<Row<T>[]> {
    const query = new URLSearchParams()
    if (opts.from !== undefined) query.set('from', opts.from)
    if (opts.to !== undefined) query.set('to', opts.to)
    if (opts.limit !== undefined) query.set('limit', String(opts.limit))
    const path = `/tables/${encodeURIComponent(table)}?${query.toString()}`
    const response = await this.#get(path, this.#deadline(opts))
    return parseJsonResponse(expectOk(response)) as Row<T>[]
  }

  async commit(tx: Transaction, opts: CallOptions = {}): Promise<CommitResult> {
    const token = randomUUID()
    const deadline = this.#deadline(opts)
    const body = JSON.stringify({ checks: tx.checks, writes: tx.writes, token })
    // Half of the time is reserved for reading back the token if the response is lost.
    const firstDeadline = (this.#clock.now() + deadline) / 2
    if (this.#clock.now() >= firstDeadline) throw new StoreError('the transaction deadline passed')
    let response: StorageResponse
    try {
      const req = { method: 'POST', path: '/transactions', body, deadline: firstDeadline } as const
      response = await this.#http.call(req)
      if (response.status === 200 || response.status === 409) return parseCommitResult(response)
    } catch (err) {
      return this.#readBack(token, deadline, err)
    }
    throw new StoreError(
      `the table service rejected the transaction with status ${response.status}`,
    )
  }

  async close(): Promise<void> {
    await this.#http.close()
  }

  #deadline(opts: CallOptions): number {
    return opts.deadline ?? this.#clock.now() + defaultCallTimeoutMs
  }

  #get(path: string, deadline: number): Promise<StorageResponse> {
    return this.#http.callWithRetry({ method: 'GET', path, deadline })
  }

  /**
   * Finds the result of a transaction that got no response. A service that does not know the token
   * responds with 404 and fences the token: it rejects a transaction that arrives with it later. A
   * status of 404 therefore means that the transaction never takes effect.
   */
  async #readBack(token: string, deadline: number, cause: unknown): Promise<CommitResult> {
    while (this.#clock.now() < deadline) {
      const attemptDeadline = Math.min(deadline, this.#clock.now() + readBackAttemptTimeoutMs)
      const result = await this.#readToken(token, attemptDeadline)
      if (result === 'fenced') {
        throw new StoreError('the transaction did not take effect', { cause })
      }
      if (result !== undefined) return result
      await this.#http.pauseBeforeRetry(deadline)
    }
    throw new StoreError('the result of the transaction is unknown', {
      isResultKnown: false,
      cause,
    })
  }

  /** Reads the result of the transaction with this token; undefined when the attempt failed. */
  async #readToken(token: string, deadline: number): Promise<CommitResult | 'fenced' | undefined> {
    try {
      const response = await this.#http.call({ method: 'GET', path: `/tokens/${token}`, deadline })
      if (response.status === 404) return 'fenced'
      return response.status === 200 ? parseCommitResult(response) : undefined
    } catch {
      return undefined
    }
  }
}

function expectOk(response: StorageResponse): StorageResponse {
  if (response.status === 200) return response
  throw new StoreError(`the table service responded with status ${response.status}`)
}

/** Throws on a malformed response, which counts as lost, so that its token is read back. */
function parseCommitResult(response: StorageResponse): CommitResult {
  const body = parseJsonResponse(response) as Partial<CommitResult> | null
  if (body?.committed === true) return { committed: true }
  if (body?.committed === false && Array.isArray(body.failed)) {
    return { committed: false, failed: body.failed }
  }
  throw new StoreError('the table service returned a malformed transaction result')
}
