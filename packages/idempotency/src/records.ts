import { RequestError, systemClock } from '@bulrushbridge/errors'
import {
  StoreError,
  wait,
  type Check,
  type Committer,
  type Row,
  type TableService,
  type WaitingClock,
} from '@bulrushbridge/store'
import { decodeAnswer, encodeAnswer, type Answer, type StoredAnswer } from './answer.js'

/** Table of the idempotency records; key `<team>/<idempotency key>`, both parts percent-encoded. */
export const idempotencyTable = 'once'

/** Longest time that `begin` may take with all its attempts, in milliseconds. */
const beginTimeoutMs = 2_000

/** Most attempts of `begin`; it tries again when a record that blocked it has been deleted. */
const maxBeginAttempts = 3

/** Time after which storing an answer is given up, in milliseconds. */
const storeAnswerTimeoutMs = 60_000

/** Pause between two attempts to store an answer, in milliseconds. */
const storeAnswerRetryMs = 1_000

/** Most answers that wait to be stored; those beyond it are dropped, so a repeat gets `unknown`. */
const maxPendingAnswers = 1_000

/**
 * Most requests to remember whose record may have been written although `begin` failed; the oldest
 * is dropped first.
 */
const maxUnconfirmedBegins = 1_000

/** Value of a row in the table `once`. */
export interface IdempotencyRow {
  state: 'running' | 'finished'
  fingerprint: string
  requestId: string
  member: string
  /** Wall-clock time at which the request began, in milliseconds. */
  at: number
  /** Absent while the request runs, and when the answer was too large to keep. */
  answer?: StoredAnswer
}

/** Options of {@link createIdempotencyRecords}. */
export interface IdempotencyOptions {
  table: TableService
  /** Commits the records; `table` unless given. */
  committer?: Committer
  member: string
  clock?: WaitingClock
  /** Wall clock in milliseconds, for the age of records. */
  wallClock?: () => number
}

/** One attempt of a request that must run at most once. */
export interface RequestAttempt {
  team: string
  key: string
  /** Digest of method, path and body; the same key with another fingerprint is refused. */
  fingerprint: string
  /** Unique among the requests of all entry hosts: it starts with member and incarnation. */
  requestId: string
}

/** The state in which `begin` found or put a request with an idempotency key. */
export type BeginResult =
  | {
      state: 'new'
      /**
       * Stores the answer in the background. Only the first call has an effect; it never throws.
       */
      finish(answer: Answer): void
      /** Deletes the record. Call it only when the request certainly did not run. */
      release(): Promise<void>
    }
  | { state: 'finished'; answer: Answer }
  | { state: 'unknown' }

/** Result of an earlier attempt: its answer, or `unknown` when it may have run. */
export type EarlierAttempt = Exclude<BeginResult, { state: 'new' }>

/** Records that make requests with an idempotency key run at most once. */
export interface IdempotencyRecords {
  /**
   * Looks for an earlier attempt without writing a record. Rejects like `begin`, but when the
   * storage does not respond the outcome is `unknown`, because an earlier attempt may have run.
   */
  findEarlier(request: RequestAttempt): Promise<EarlierAttempt | undefined>
  /**
   * Writes the record of a new attempt. Must be awaited before the first byte is sent upstream.
   * Rejects with a RequestError of kind `idempotency-key-reused`, `already-finished` or
   * `store-unavailable`.
   */
  begin(request: RequestAttempt): Promise<BeginResult>
  /** Waits until the pending answers are stored or given up. */
  close(): Promise<void>
}

/**
 * Creates the records of one entry host.
 *
 * @example
 * const begun = await records.begin({ team, key, fingerprint, requestId })
 * if (begun.state === 'new') begun.finish(await dispatch())
 */
export function createIdempotencyRecords(opts: IdempotencyOptions): IdempotencyRecords {
  return new TableIdempotencyRecords(opts)
}

class TableIdempotencyRecords implements IdempotencyRecords {
  readonly #opts: IdempotencyOptions
  readonly #clock: WaitingClock
  readonly #committer: Committer
  readonly #closing = new AbortController()
  readonly #pendingStores = new Set<Promise<void>>()
  /**
   * Ids of requests whose `begin` failed without a known result; nothing was dispatched for them.
   */
  readonly #unconfirmedBegins = new Set<string>()

  constructor(opts: IdempotencyOptions) {
    this.#opts = opts
    this.#clock = opts.clock ?? systemClock
    this.#committer = opts.committer ?? opts.table
  }

  async findEarlier(request: RequestAttempt): Promise<EarlierAttempt | undefined> {
    const row = await this.#readExisting(rowKey(request), this.#clock.now() + beginTimeoutMs)
    if (row === undefined) return undefined
    const earlier = this.#interpretRow(row, request)
    // The record was written by a failed begin of this request. Nothing was dispatched, and the
    // next `begin` takes the record over.
    return earlier.state === 'new' ? undefined : earlier
  }

  async begin(request: RequestAttempt): Promise<BeginResult> {
    const key = rowKey(request)
    const deadline = this.#clock.now() + beginTimeoutMs
    try {
      for (let attempt = 0; attempt < maxBeginAttempts; attempt++) {
        const result = await this.#tryBegin(key, request, deadline)
        if (result !== undefined) return result
      }
    } catch (cause) {
      if (!(cause instanceof StoreError)) throw cause
      if (!cause.isResultKnown) this.#rememberUnconfirmed(request.requestId)
      // Nothing was dispatched. A record that may exist is left in place, and a repeat gets
      // `unknown`.
      throw new RequestError('store-unavailable', { outcome: 'not-run', cause })
    }
    throw new RequestError('store-unavailable', { outcome: 'not-run' })
  }

  async close(): Promise<void> {
    this.#closing.abort()
    await Promise.all(this.#pendingStores)
  }

  /** Resolves to undefined when an existing record was deleted before it could be read. */
  async #tryBegin(
    key: string,
    request: RequestAttempt,
    deadline: number,
  ): Promise<BeginResult | undefined> {
    const { fingerprint, requestId } = request
    const at = (this.#opts.wallClock ?? Date.now)()
    const value: IdempotencyRow = {
      state: 'running',
      fingerprint,
      requestId,
      member: this.#opts.member,
      at,
    }
    const check = { table: idempotencyTable, key, version: 0 }
    const result = await this.#committer.commit(
      { checks: [check], writes: [{ table: idempotencyTable, key, value }] },
      { deadline },
    )
    if (result.committed) {
      this.#unconfirmedBegins.delete(requestId)
      // The version of a new row is 1.
      return this.#newAttempt({ key, version: 1, value })
    }
    const row = await this.#readExisting(key, deadline)
    return row === undefined ? undefined : this.#interpretRow(row, request)
  }

  /**
   * Reads the record of another attempt. If that fails, the outcome is `unknown`: it may have run.
   */
  async #readExisting(key: string, deadline: number): Promise<Row<IdempotencyRow> | undefined> {
    try {
      return await this.#opts.table.read<IdempotencyRow>(idempotencyTable, key, { deadline })
    } catch (cause) {
      throw new RequestError('store-unavailable', { outcome: 'unknown', cause })
    }
  }

  #interpretRow(row: Row<IdempotencyRow>, request: RequestAttempt): BeginResult {
    const { state, fingerprint, requestId, answer } = row.value
    if (fingerprint !== request.fingerprint) throw new RequestError('idempotency-key-reused')
    if (state === 'finished') {
      if (answer !== undefined) return { state: 'finished', answer: decodeAnswer(answer) }
      throw new RequestError('already-finished', { outcome: 'finished' })
    }
    // An earlier begin of the same request wrote the record, and nothing was dispatched for it.
    const isOwnRecord = requestId === request.requestId && this.#unconfirmedBegins.delete(requestId)
    return isOwnRecord ? this.#newAttempt(row) : { state: 'unknown' }
  }

  #newAttempt(row: Row<IdempotencyRow>): BeginResult {
    const check = { table: idempotencyTable, key: row.key, version: row.version }
    let isEnded = false
    return {
      state: 'new',
      finish: answer => {
        if (isEnded) return
        isEnded = true
        this.#storeInBackground(check, row.value, answer)
      },
      release: async () => {
        if (isEnded) return
        isEnded = true
        await this.#deleteRow(check)
      },
    }
  }

  #storeInBackground(check: Check, runningRow: IdempotencyRow, answer: Answer): void {
    if (this.#pendingStores.size >= maxPendingAnswers) return
    const stored = encodeAnswer(answer)
    const value: IdempotencyRow = { ...runningRow, state: 'finished' }
    if (stored !== undefined) value.answer = stored
    const pendingStore = this.#storeWithRetries(check, value).finally(() =>
      this.#pendingStores.delete(pendingStore),
    )
    this.#pendingStores.add(pendingStore)
  }

  /**
   * Retries until the answer is stored or the time is over. A retry after an unknown result is
   * safe: if the earlier attempt took effect, the version check rejects the retry.
   */
  async #storeWithRetries(check: Check, value: IdempotencyRow): Promise<void> {
    const write = { table: check.table, key: check.key, value }
    const giveUpAt = this.#clock.now() + storeAnswerTimeoutMs
    do {
      try {
        await this.#committer.commit({ checks: [check], writes: [write] })
        return
      } catch {
        await wait(this.#clock, storeAnswerRetryMs, this.#closing.signal)
      }
    } while (this.#clock.now() < giveUpAt && !this.#closing.signal.aborted)
  }

  /**
   * Deletes the record without retries. After an unknown result, the row may have been deleted and
   * then written again by a repeat with the same version, which a retry would delete. A record that
   * stays makes a repeat `unknown`, which is safe.
   */
  async #deleteRow(check: Check): Promise<void> {
    const write = { table: check.table, key: check.key, value: null }
    await this.#committer.commit({ checks: [check], writes: [write] }).catch(() => undefined)
  }

  #rememberUnconfirmed(requestId: string): void {
    this.#unconfirmedBegins.add(requestId)
    if (this.#unconfirmedBegins.size <= maxUnconfirmedBegins) return
    for (const oldest of this.#unconfirmedBegins) {
      this.#unconfirmedBegins.delete(oldest)
      return
    }
  }
}

function rowKey({ team, key }: RequestAttempt): string {
  return `${encodeURIComponent(team)}/${encodeURIComponent(key)}`
}
