import { normalizeError, systemClock } from '@bulrushbridge/errors'
import {
  learnedTable,
  runTimesPrefix,
  type LearnedRow,
  type RunTimeModel,
} from '@bulrushbridge/run-times'
import type { Check, TableService, Write } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'

/** Least time between two transactions that store the model, in milliseconds. */
const storeIntervalMs = 5_000

/** Longest time for which a takeover waits for the rows, in milliseconds. */
const loadTimeoutMs = 1_000

/** Longest time of a transaction, for which the end of the term waits, in milliseconds. */
const commitTimeoutMs = 1_000

/** Least time between two log lines about failed calls, in milliseconds. */
const errorLogIntervalMs = 30_000

/** Options of {@link createRunTimeStore}. */
export interface RunTimeStoreOptions {
  store: TableService
  /** Check of the dispatcher's lease, which every transaction includes. */
  leaseCheck: Check
  runTimes: RunTimeModel
  /** Whether the term may store now: its lease is held and its takeover is complete. */
  isActive: () => boolean
  log: Logger
  /** Least time between two transactions, in milliseconds; 5 s by default. */
  intervalMs?: number
}

/** Keeps what the run-time model has learned over a change of the dispatcher. */
export interface RunTimeStore {
  /**
   * Restores what earlier terms stored. Resolves also if the rows can't be read or are invalid, as the
   * model works without them.
   */
  load(): Promise<void>
  close(): Promise<void>
}

/**
 * Starts to store the run-time model regularly, if it has changed and the term is active.
 *
 * @example
 * const runTimeStore = createRunTimeStore({ store, leaseCheck: held.check, runTimes, isActive, log })
 * await runTimeStore.load()
 */
export function createRunTimeStore(opts: RunTimeStoreOptions): RunTimeStore {
  return new StoredRunTimes(opts)
}

class StoredRunTimes implements RunTimeStore {
  readonly #opts: RunTimeStoreOptions
  readonly #timer: NodeJS.Timeout
  /** JSON of the rows in the store, by key. */
  #storedRows = new Map<string, string>()
  #storedObservations = 0
  #isLoaded = false
  #isLoading = false
  #pending: Promise<void> | undefined
  #errorLoggedAt = -Infinity

  constructor(opts: RunTimeStoreOptions) {
    this.#opts = opts
    this.#timer = setInterval(() => {
      this.#tick()
    }, opts.intervalMs ?? storeIntervalMs)
  }

  async load(): Promise<void> {
    if (this.#isLoading || this.#isLoaded) return
    this.#isLoading = true
    try {
      // The prefix ends with a slash; a zero is the character after it.
      const range = { from: runTimesPrefix, to: `${runTimesPrefix.slice(0, -1)}0` }
      const deadline = systemClock.now() + loadTimeoutMs
      this.#apply(await this.#opts.store.scan(learnedTable, { ...range, deadline }))
    } catch (err) {
      this.#logError('reading learned run times failed', err)
    } finally {
      this.#isLoading = false
    }
  }

  async close(): Promise<void> {
    clearInterval(this.#timer)
    await this.#pending
  }

  #apply(rows: readonly LearnedRow[]): void {
    const { runTimes, log } = this.#opts
    for (const { key, reason } of runTimes.restore(rows))
      log.warn('row of learned run times ignored', { table: learnedTable, key, reason })
    log.info('learned run times read', { rows: rows.length, keys: runTimes.keyCount })
    this.#storedRows = new Map(rows.map(({ key, value }) => [key, JSON.stringify(value)]))
    this.#isLoaded = true
  }

  #tick(): void {
    if (this.#pending !== undefined || !this.#opts.isActive()) return
    // Rows that have not been read are not overwritten.
    const work = this.#isLoaded ? this.#storeChanges() : this.load()
    this.#pending = work.finally(() => {
      this.#pending = undefined
    })
  }

  async #storeChanges(): Promise<void> {
    const { store, leaseCheck, runTimes, log } = this.#opts
    const { observations } = runTimes
    if (observations === this.#storedObservations) return
    const rows = new Map(runTimes.encode().map(({ key, value }) => [key, value]))
    const texts = new Map([...rows].map(([key, value]) => [key, JSON.stringify(value)]))
    const changed = [...rows].filter(([key]) => texts.get(key) !== this.#storedRows.get(key))
    const removed = [...this.#storedRows.keys()].filter(key => !rows.has(key))
    const writes: Write[] = [
      ...changed.map(([key, value]) => ({ table: learnedTable, key, value })),
      ...removed.map(key => ({ table: learnedTable, key, value: null })),
    ]
    try {
      if (writes.length > 0) {
        const { committed } = await store.commit(
          { checks: [leaseCheck], writes },
          { deadline: systemClock.now() + commitTimeoutMs },
        )
        if (!committed) {
          this.#logError('learned run times not stored', new Error('the lease check failed'))
          return
        }
      }
      this.#storedRows = texts
      this.#storedObservations = observations
      log.debug('learned run times stored', { rows: writes.length, observations })
    } catch (err) {
      this.#logError('storing learned run times failed', err)
    }
  }

  #logError(message: string, err: unknown): void {
    if (performance.now() - this.#errorLoggedAt < errorLogIntervalMs) return
    this.#errorLoggedAt = performance.now()
    this.#opts.log.warn(message, { reason: normalizeError(err).message })
  }
}
