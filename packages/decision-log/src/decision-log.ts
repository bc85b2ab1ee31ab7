import { systemClock } from '@bulrushbridge/errors'
import { wait, type TableService, type WaitingClock, type Write } from '@bulrushbridge/store'
import { joinRecords, maxIds, type Pending } from './join-records.js'
import type { Decision, DecisionRecord, Subject } from './record.js'

const decisionsTable = 'decisions'

/** Pause between grouped writes. */
const flushMs = 500

/** Two groups a second make 20 rows a second, a small part of the storage's capacity. */
const rowsPerFlush = 10

/** How long `close` tries to write what is left. */
const closeMs = 2_000

/** Subject id of rows that stand for several subjects; not the encoding of any id. */
const joinedId = '*'

/** Joined rows are filtered by subject after reading, so more of them are read. */
const minJoinedRows = 200

/** Newer records get smaller keys, so that a scan in key order returns them first. */
const latestMs = 9_999_999_999_999

/** Options of {@link createDecisionLog}. */
export interface DecisionLogOptions {
  table: TableService
  /** Name of this entry host. */
  member: string
  clock?: WaitingClock
  /** Wall clock in milliseconds, for the times shown to operators. */
  wallClock?: () => number
  /** Decisions beyond this number wait nowhere: they are dropped and counted. */
  bufferSize?: number
}

/** Writes decisions in the background and reads them back. */
export interface DecisionLog {
  /** Never throws and never waits. */
  record(decision: Decision): void
  /** Newest first; rejects with a StoreError when the storage does not answer. */
  read(opts: Subject & { limit: number }): Promise<DecisionRecord[]>
  /** Decisions dropped so far. */
  dropped(): number
  /** Writes what is left, for at most 2 s. */
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
  readonly #running: Promise<void>
  #pending: Pending[] = []
  #unsent: Write[] = []
  #sequence = 0
  #dropped = 0
  #reportedDrops = 0

  constructor(opts: DecisionLogOptions) {
    this.#opts = opts
    this.#clock = opts.clock ?? systemClock
    this.#running = this.#run()
  }

  record(decision: Decision): void {
    const isFull = this.#pending.length >= (this.#opts.bufferSize ?? 1_000)
    if (isFull || this.#closing.signal.aborted) {
      this.#dropped += 1
      return
    }
    const at = (this.#opts.wallClock ?? Date.now)()
    this.#pending.push({ decision: { ...decision, observed: plain(decision.observed) }, at })
  }

  async read({ kind, id, limit }: Subject & { limit: number }): Promise<DecisionRecord[]> {
    const ranges = [encodeURIComponent(id).replaceAll('*', '%2A'), joinedId].map(async name => {
      const prefix = `${encodeURIComponent(kind)}/${name}`
      // "0" is the character after "/".
      const opts = {
        from: `${prefix}/`,
        to: `${prefix}0`,
        limit: name === joinedId ? Math.max(limit, minJoinedRows) : limit,
      }
      return this.#opts.table.scan<DecisionRecord>(decisionsTable, opts)
    })
    const rows = (await Promise.all(ranges)).flat().map(row => row.value)
    return rows
      .filter(record => mayConcern(record, id))
      .sort((a, b) => (a.lastAt < b.lastAt ? 1 : a.lastAt > b.lastAt ? -1 : 0))
      .slice(0, limit)
  }

  dropped(): number {
    return this.#dropped
  }

  async close(): Promise<void> {
    this.#closing.abort()
    await this.#running
    const deadline = this.#clock.now() + closeMs
    let isStored = true
    while (isStored && this.#pending.length + this.#unsent.length > 0) {
      isStored = await this.#flush(deadline)
    }
    this.#dropped += this.#pending.length
    this.#pending = []
  }

  async #run(): Promise<void> {
    while (!this.#closing.signal.aborted) {
      await wait(this.#clock, flushMs, this.#closing.signal)
      await this.#flush(this.#clock.now() + closeMs)
    }
  }

  /** Writes one group; returns whether it was stored. */
  async #flush(deadline: number): Promise<boolean> {
    // A group without a known result is written again under the same keys, so nothing doubles.
    if (this.#unsent.length === 0) this.#unsent = this.#nextGroup()
    if (this.#unsent.length === 0) return true
    try {
      await this.#opts.table.commit({ checks: [], writes: this.#unsent }, { deadline })
      this.#unsent = []
      return true
    } catch {
      return false
    }
  }

  #nextGroup(): Write[] {
    const { rows, rest } = joinRecords(this.#pending, rowsPerFlush)
    this.#pending = rest
    return rows.map(row => this.#write({ ...row, member: this.#opts.member }))
  }

  #write(record: DecisionRecord): Write {
    const { subject, ids, lastAt } = record
    const id = ids === undefined ? encodeURIComponent(subject.id) : joinedId
    const time = String(latestMs - Date.parse(lastAt)).padStart(13, '0')
    const sequence = String(999_999_999 - this.#sequence++).padStart(9, '0')
    const member = encodeURIComponent(this.#opts.member)
    const key = `${encodeURIComponent(subject.kind)}/${id}/${time}-${sequence}-${member}`
    const drops = this.#dropped - this.#reportedDrops
    this.#reportedDrops = this.#dropped
    return { table: decisionsTable, key, value: drops > 0 ? { ...record, dropped: drops } : record }
  }
}

/** A full list of ids may be incomplete, so the record is shown for every subject of its kind. */
function mayConcern(record: DecisionRecord, id: string): boolean {
  return record.ids === undefined || record.ids.length >= maxIds || record.ids.includes(id)
}

/** A copy that can be stored; values that JSON cannot hold must not block the group. */
function plain(observed: Record<string, unknown>): Record<string, unknown> {
  try {
    return JSON.parse(JSON.stringify(observed)) as Record<string, unknown>
  } catch {
    return {}
  }
}
