import { systemClock } from '@bulrushbridge/errors'
import { wait, type TableService, type WaitingClock, type Write } from '@bulrushbridge/store'
import { joinRecords, maxJoinedIds, type PendingDecision } from './join-records.js'
import type { Decision, DecisionRecord, Subject } from './record.js'

const decisionsTable = 'decisions'

/** Pause between two batches of writes. */
const flushIntervalMs = 500

/** Two batches a second write 20 rows a second, a small part of what the store can take. */
const rowsPerFlush = 10

/** Time allowed for a batch, and for `close` to write all records that are left. */
const flushTimeoutMs = 2_000

/** Key part of rows that stand for several subjects; differs from every encoded id. */
const joinedId = '*'

/** Fewest joined rows to read. They are filtered by subject after reading, so more are needed. */
const minJoinedRowsRead = 200

/** Subtracting the time from this gives newer records smaller keys, so scans return them first. */
const maxTimestampMs = 9_999_999_999_999

/** Options of {@link createDecisionLog}. */
export interface DecisionLogOptions {
  table: TableService
  /** Name of this entry host. */
  member: string
  clock?: WaitingClock
  /** Returns wall-clock milliseconds, for the times that operators see. */
  wallClock?: () => number
  /** Most decisions that wait to be written; further ones are dropped and counted. */
  bufferSize?: number
}

/** Writes decisions in the background and reads them back. */
export interface DecisionLog {
  /** Adds a decision to the buffer; never throws and never waits. */
  record(decision: Decision): void
  /** Reads records, newest first; rejects with a StoreError when the store does not answer. */
  read(opts: Subject & { limit: number }): Promise<DecisionRecord[]>
  /** Decisions dropped so far. */
  dropped(): number
  /** Writes the buffered decisions, for at most 2 s, and stops. */
  close(): Promise<void>
}

/**
 * Starts a decision log.
 *
 * @example
 * const log = createDecisionLog({ table, member: 'entry-3' })
 * log.record({ subject: { kind: 'team', id: 'lamps' }, rule: 'team-limit', observed, action: 'refuse' })
 */
export function createDecisionLog(opts: DecisionLogOptions): DecisionLog {
  return new BufferedDecisionLog(opts)
}

class BufferedDecisionLog implements DecisionLog {
  readonly #opts: DecisionLogOptions
  readonly #clock: WaitingClock
  readonly #closing = new AbortController()
  readonly #flushLoop: Promise<void>
  #pending: PendingDecision[] = []
  #unconfirmedBatch: Write[] = []
  #sequence = 0
  #dropped = 0
  #reportedDropped = 0

  constructor(opts: DecisionLogOptions) {
    this.#opts = opts
    this.#clock = opts.clock ?? systemClock
    this.#flushLoop = this.#runFlushLoop()
  }

  record(decision: Decision): void {
    const isFull = this.#pending.length >= (this.#opts.bufferSize ?? 1_000)
    if (isFull || this.#closing.signal.aborted) {
      this.#dropped += 1
      return
    }
    const at = (this.#opts.wallClock ?? Date.now)()
    this.#pending.push({ decision: { ...decision, observed: toJsonValues(decision.observed) }, at })
  }

  async read({ kind, id, limit }: Subject & { limit: number }): Promise<DecisionRecord[]> {
    const ranges = [encodeURIComponent(id).replaceAll('*', '%2A'), joinedId].map(async name => {
      const prefix = `${encodeURIComponent(kind)}/${name}`
      // "0" is the character after "/", so the range contains every key with the prefix.
      const opts = {
        from: `${prefix}/`,
        to: `${prefix}0`,
        limit: name === joinedId ? Math.max(limit, minJoinedRowsRead) : limit,
      }
      return this.#opts.table.scan<DecisionRecord>(decisionsTable, opts)
    })
    const rows = (await Promise.all(ranges)).flat().map(row => row.value)
    return rows
      .filter(record => canConcern(record, id))
      .sort((a, b) => (a.lastAt < b.lastAt ? 1 : a.lastAt > b.lastAt ? -1 : 0))
      .slice(0, limit)
  }

  dropped(): number {
    return this.#dropped
  }

  async close(): Promise<void> {
    this.#closing.abort()
    await this.#flushLoop
    const deadline = this.#clock.now() + flushTimeoutMs
    let isStored = true
    while (isStored && this.#pending.length + this.#unconfirmedBatch.length > 0) {
      isStored = await this.#flushBatch(deadline)
    }
    this.#dropped += this.#pending.length
    this.#pending = []
  }

  async #runFlushLoop(): Promise<void> {
    while (!this.#closing.signal.aborted) {
      await wait(this.#clock, flushIntervalMs, this.#closing.signal)
      await this.#flushBatch(this.#clock.now() + flushTimeoutMs)
    }
  }

  /** Writes one batch; returns whether it was stored. */
  async #flushBatch(deadline: number): Promise<boolean> {
    // A batch whose result is unknown is written again under the same keys, so no record doubles.
    if (this.#unconfirmedBatch.length === 0) this.#unconfirmedBatch = this.#nextBatch()
    if (this.#unconfirmedBatch.length === 0) return true
    try {
      await this.#opts.table.commit({ checks: [], writes: this.#unconfirmedBatch }, { deadline })
      this.#unconfirmedBatch = []
      return true
    } catch {
      return false
    }
  }

  #nextBatch(): Write[] {
    const { rows, rest } = joinRecords(this.#pending, rowsPerFlush)
    this.#pending = rest
    return rows.map(row => this.#toWrite({ ...row, member: this.#opts.member }))
  }

  #toWrite(record: DecisionRecord): Write {
    const { subject, ids, lastAt } = record
    const id = ids === undefined ? encodeURIComponent(subject.id) : joinedId
    const time = String(maxTimestampMs - Date.parse(lastAt)).padStart(13, '0')
    const sequence = String(999_999_999 - this.#sequence++).padStart(9, '0')
    const member = encodeURIComponent(this.#opts.member)
    const key = `${encodeURIComponent(subject.kind)}/${id}/${time}-${sequence}-${member}`
    const newlyDropped = this.#dropped - this.#reportedDropped
    this.#reportedDropped = this.#dropped
    return {
      table: decisionsTable,
      key,
      value: newlyDropped > 0 ? { ...record, dropped: newlyDropped } : record,
    }
  }
}

/**
 * Whether the record can be about the subject. A full list of ids may be incomplete, so a record
 * with one is shown for every subject of its kind.
 */
function canConcern(record: DecisionRecord, id: string): boolean {
  return record.ids === undefined || record.ids.length >= maxJoinedIds || record.ids.includes(id)
}

/** Copies observed values as JSON; one that JSON cannot represent must not block its batch. */
function toJsonValues(observed: Record<string, unknown>): Record<string, unknown> {
  try {
    return JSON.parse(JSON.stringify(observed)) as Record<string, unknown>
  } catch {
    return {}
  }
}
