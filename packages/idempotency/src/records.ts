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

/** Table of the records, key `<team>/<idempotency key>`, both percent-encoded. */
export const onceTable = 'once'

/** How long `begin` may take in total. */
const beginMs = 2_000

/** How often `begin` starts again when the record it met disappears. */
const beginAttempts = 3

/** How long a finished answer is offered to a storage that does not take it. */
const finishMs = 60_000

/** Pause before a finished answer is offered again. */
const finishPauseMs = 1_000

/** Answers that wait for the storage; beyond this a repeat learns `unknown`. */
const maxWaitingAnswers = 1_000

/** Requests whose record may have been written although `begin` failed; the oldest are forgotten. */
const maxUnsettled = 1_000

/** Value of a row in the table `once`. */
export interface OnceRow {
  state: 'running' | 'finished'
  fingerprint: string
  requestId: string
  member: string
  /** Wall clock of the beginning, in milliseconds. */
  at: number
  /** Absent while running, and when the answer was too large. */
  answer?: StoredAnswer
}

/** Options of {@link createIdempotencyRecords}. */
export interface IdempotencyOptions {
  table: TableService
  /** Commits the records; the table itself unless given. */
  committer?: Committer
  member: string
  clock?: WaitingClock
  /** Wall clock in milliseconds, for the age of records. */
  wallClock?: () => number
}

/** A request that asks to run once. */
export interface BeginOptions {
  team: string
  key: string
  /** Digest of method, path and body; the same key with another one is refused. */
  fingerprint: string
  /** Unique among all requests, because it starts with member and incarnation. */
  requestId: string
}

/** What is known of a request with an idempotency key. */
export type Begun =
  | {
      state: 'new'
      /** Keeps the answer in the background; it may be called once and never throws. */
      finish(answer: Answer): void
      /** Deletes the record; allowed only when the request certainly did not run. */
      release(): Promise<void>
    }
  | { state: 'finished'; answer: Answer }
  | { state: 'unknown' }

/** What an earlier attempt left: its answer, or that it may have run. */
export type Earlier = Exclude<Begun, { state: 'new' }>

/** Records that make requests with an idempotency key run at most once. */
export interface IdempotencyRecords {
  /**
   * Looks for an earlier attempt without leaving a record. Rejects like `begin`; when the storage
   * does not answer the outcome is `unknown`, because an earlier attempt may have run.
   */
  find(opts: BeginOptions): Promise<Earlier | undefined>
  /**
   * Must be awaited before the first byte is sent upstream. Rejects with a RequestError of kind
   * `idempotency-key-reused`, `already-finished` or `store-unavailable`.
   */
  begin(opts: BeginOptions): Promise<Begun>
  /** Waits until the finished answers are stored or given up. */
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
  return new OnceRecords(opts)
}

class OnceRecords implements IdempotencyRecords {
  readonly #opts: IdempotencyOptions
  readonly #clock: WaitingClock
  readonly #committer: Committer
  readonly #closing = new AbortController()
  readonly #storing = new Set<Promise<void>>()
  /** Request ids of failed begins; nothing was dispatched for them. */
  readonly #unsettled = new Set<string>()

  constructor(opts: IdempotencyOptions) {
    this.#opts = opts
    this.#clock = opts.clock ?? systemClock
    this.#committer = opts.committer ?? opts.table
  }

  async find(opts: BeginOptions): Promise<Earlier | undefined> {
    const row = await this.#readExisting(rowKey(opts), this.#clock.now() + beginMs)
    if (row === undefined) return undefined
    const found = this.#existing(row, opts)
    // Its own record of a failed begin: nothing was dispatched, and `begin` takes it over.
    return found.state === 'new' ? undefined : found
  }

  async begin(opts: BeginOptions): Promise<Begun> {
    const key = rowKey(opts)
    const deadline = this.#clock.now() + beginMs
    try {
      for (let attempt = 0; attempt < beginAttempts; attempt++) {
        const begun = await this.#tryBegin(key, opts, deadline)
        if (begun !== undefined) return begun
      }
    } catch (cause) {
      if (!(cause instanceof StoreError)) throw cause
      if (!cause.settled) this.#keepUnsettled(opts.requestId)
      // Nothing was dispatched. The record may exist; it is left, and a repeat learns `unknown`.
      throw new RequestError('store-unavailable', { outcome: 'not-run', cause })
    }
    throw new RequestError('store-unavailable', { outcome: 'not-run' })
  }

  async close(): Promise<void> {
    this.#closing.abort()
    await Promise.all(this.#storing)
  }

  /** Undefined when the record was there and disappeared. */
  async #tryBegin(key: string, opts: BeginOptions, deadline: number): Promise<Begun | undefined> {
    const { fingerprint, requestId } = opts
    const at = (this.#opts.wallClock ?? Date.now)()
    const value: OnceRow = {
      state: 'running',
      fingerprint,
      requestId,
      member: this.#opts.member,
      at,
    }
    const check = { table: onceTable, key, version: 0 }
    const result = await this.#committer.commit(
      { checks: [check], writes: [{ table: onceTable, key, value }] },
      { deadline },
    )
    if (result.committed) {
      this.#unsettled.delete(requestId)
      // The versions of a row start at 1.
      return this.#new({ key, version: 1, value })
    }
    const row = await this.#readExisting(key, deadline)
    return row === undefined ? undefined : this.#existing(row, opts)
  }

  /** The record of another attempt; when it cannot be read, that attempt may have run. */
  async #readExisting(key: string, deadline: number): Promise<Row<OnceRow> | undefined> {
    try {
      return await this.#opts.table.read<OnceRow>(onceTable, key, { deadline })
    } catch (cause) {
      throw new RequestError('store-unavailable', { outcome: 'unknown', cause })
    }
  }

  #existing(row: Row<OnceRow>, opts: BeginOptions): Begun {
    const { state, fingerprint, requestId, answer } = row.value
    if (fingerprint !== opts.fingerprint) throw new RequestError('idempotency-key-reused')
    if (state === 'finished') {
      if (answer !== undefined) return { state: 'finished', answer: decodeAnswer(answer) }
      throw new RequestError('already-finished', { outcome: 'finished' })
    }
    // An earlier begin of this very request wrote the record, and nothing was dispatched for it.
    const isOwn = requestId === opts.requestId && this.#unsettled.delete(requestId)
    return isOwn ? this.#new(row) : { state: 'unknown' }
  }

  #new(row: Row<OnceRow>): Begun {
    const check = { table: onceTable, key: row.key, version: row.version }
    let isEnded = false
    return {
      state: 'new',
      finish: answer => {
        if (isEnded) return
        isEnded = true
        this.#startStoring(check, row.value, answer)
      },
      release: async () => {
        if (isEnded) return
        isEnded = true
        await this.#release(check)
      },
    }
  }

  #startStoring(check: Check, running: OnceRow, answer: Answer): void {
    if (this.#storing.size >= maxWaitingAnswers) return
    const stored = encodeAnswer(answer)
    const value: OnceRow = { ...running, state: 'finished' }
    if (stored !== undefined) value.answer = stored
    const storing = this.#store(check, value).finally(() => this.#storing.delete(storing))
    this.#storing.add(storing)
  }

  /** A retry after an unknown result is refused by its check if the first attempt took effect. */
  async #store(check: Check, value: OnceRow): Promise<void> {
    const write = { table: check.table, key: check.key, value }
    const giveUpAt = this.#clock.now() + finishMs
    do {
      try {
        await this.#committer.commit({ checks: [check], writes: [write] })
        return
      } catch {
        await wait(this.#clock, finishPauseMs, this.#closing.signal)
      }
    } while (this.#clock.now() < giveUpAt && !this.#closing.signal.aborted)
  }

  /**
   * Never retried: after an unknown result the row may be gone and written anew by a repeat, with
   * the same version. A record that stays makes a repeat `unknown`, which is safe.
   */
  async #release(check: Check): Promise<void> {
    const write = { table: check.table, key: check.key, value: null }
    await this.#committer.commit({ checks: [check], writes: [write] }).catch(() => undefined)
  }

  #keepUnsettled(requestId: string): void {
    this.#unsettled.add(requestId)
    if (this.#unsettled.size <= maxUnsettled) return
    for (const oldest of this.#unsettled) {
      this.#unsettled.delete(oldest)
      return
    }
  }
}

function rowKey({ team, key }: BeginOptions): string {
  return `${encodeURIComponent(team)}/${encodeURIComponent(key)}`
}
