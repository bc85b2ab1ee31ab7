import { normalizeError, systemClock } from '@bulrushbridge/errors'
import {
  cancelSuffix,
  headsTable,
  jobsTable,
  partOf,
  progressTable,
  waitingKey,
  waitingTable,
  type JobState,
} from '@bulrushbridge/scheduler'
import { StoreError, wait, type Check, type TableService, type Write } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'
import { z } from 'zod'

/** Key of the head row of each part. */
const headKey = 'dispatcher'

/** Jobs in one transaction; each takes up to four of the 100 entries that the store allows. */
const maxJobs = 24

/** Time for one transaction, in milliseconds; a slow store takes 700, and others may wait before it. */
const commitTimeoutMs = 1_500

/** Pause after a transaction without a known result, in milliseconds. */
const retryPauseMs = 100

const headSchema = z.object({ fence: z.number(), term: z.string() })

/** Thrown when another dispatcher has taken over. */
export class DeposedError extends Error {
  constructor() {
    super('another dispatcher has taken over')
    this.name = 'DeposedError'
  }
}

/** Options of {@link createPartWriter}. */
export interface PartWriterOptions {
  store: TableService
  part: string
  /** Fencing token and id of the term. */
  fence: number
  term: string
  log: Logger
  onDeposed: () => void
}

/** Writes the jobs of one part, one transaction after another. */
export interface PartWriter {
  /** Takes the part over from earlier terms; rejects with a DeposedError after a later one. */
  claim(): Promise<void>
  /** Resolves when the job's present state or a later one is stored. */
  write(job: JobState): Promise<void>
  /** How long the oldest unwritten change has waited, in milliseconds. */
  lagMs(): number
  close(): Promise<void>
}

/**
 * Creates the writer of one part. Every transaction checks the version of the part's head row and
 * replaces the row, so that a transaction that takes effect late, or after a takeover, fails.
 *
 * @example
 * const writer = createPartWriter({ store, part: 'p0', fence: 7, term, log, onDeposed })
 * await writer.claim()
 * await writer.write(job)
 */
export function createPartWriter(opts: PartWriterOptions): PartWriter {
  return new HeadedWriter(opts)
}

interface Pending {
  job: JobState
  since: number
  resolve: (() => void)[]
}

class HeadedWriter implements PartWriter {
  readonly #opts: PartWriterOptions
  readonly #closing = new AbortController()
  #pending = new Map<string, Pending>()
  #version = 0
  #running: Promise<void> | undefined
  #oldestInFlight: number | undefined
  #isDeposed = false

  constructor(opts: PartWriterOptions) {
    this.#opts = opts
  }

  async claim(): Promise<void> {
    const { store, part, fence, term } = this.#opts
    for (;;) {
      if (this.#closing.signal.aborted) throw new DeposedError()
      const row = await store.read(headsTable, headKey, { part })
      const head = headSchema.safeParse(row?.value)
      if (head.success && head.data.fence > fence) throw new DeposedError()
      if (row !== undefined && head.success && head.data.term === term) {
        this.#version = row.version
        return
      }
      const result = await store.commit(
        { checks: [this.#check(row?.version ?? 0)], writes: [this.#head()] },
        { part },
      )
      if (result.committed && result.version !== undefined) {
        this.#version = result.version
        return
      }
    }
  }

  write(job: JobState): Promise<void> {
    return new Promise(resolve => {
      const { id } = job.job
      const known = this.#pending.get(id)
      if (known === undefined) {
        this.#pending.set(id, { job, since: performance.now(), resolve: [resolve] })
      } else known.resolve.push(resolve)
      this.#running ??= this.#run().finally(() => {
        this.#running = undefined
      })
    })
  }

  lagMs(): number {
    const [first] = this.#pending.values()
    const oldest = this.#oldestInFlight ?? first?.since
    return oldest === undefined ? 0 : performance.now() - oldest
  }

  async close(): Promise<void> {
    this.#closing.abort()
    await this.#running
  }

  async #run(): Promise<void> {
    // Changes of the same turn of the event loop share a transaction.
    await Promise.resolve()
    while (this.#pending.size > 0 && !this.#isStopped()) {
      const batch = this.#takeBatch()
      this.#oldestInFlight = batch[0]?.since
      const isStored = await this.#commit(batch)
      if (isStored) for (const { resolve } of batch) for (const done of resolve) done()
      else this.#putBack(batch)
      this.#oldestInFlight = undefined
    }
  }

  #isStopped(): boolean {
    return this.#isDeposed || this.#closing.signal.aborted
  }

  #takeBatch(): Pending[] {
    const batch = [...this.#pending.values()].slice(0, maxJobs)
    for (const { job } of batch) this.#pending.delete(job.job.id)
    return batch
  }

  #putBack(batch: Pending[]): void {
    const later = this.#pending
    this.#pending = new Map(batch.map(each => [each.job.job.id, each]))
    for (const [id, each] of later) {
      const known = this.#pending.get(id)
      if (known === undefined) this.#pending.set(id, each)
      else known.resolve.push(...each.resolve)
    }
  }

  /** Whether the batch is stored; otherwise it is to be written again. */
  async #commit(batch: readonly Pending[]): Promise<boolean> {
    const { store, part, log } = this.#opts
    try {
      const writes = [this.#head(), ...batch.flatMap(({ job }) => rowsOf(job))]
      const result = await store.commit(
        { checks: [this.#check(this.#version)], writes },
        { part, deadline: performance.now() + commitTimeoutMs },
      )
      if (result.committed && result.version !== undefined) {
        this.#version = result.version
        for (const { job } of batch) if (job.status !== 'queued') job.isListedWaiting = false
        return true
      }
      await this.#readHead()
    } catch (err) {
      const { message } = normalizeError(err)
      const isUnknown = err instanceof StoreError && !err.settled
      log.warn('transaction not stored', { part, jobs: batch.length, isUnknown, reason: message })
      await wait(systemClock, retryPauseMs, this.#closing.signal)
    }
    return false
  }

  /** After a refused check: an own transaction without an answer took effect, or another term did. */
  async #readHead(): Promise<void> {
    const { store, part, term } = this.#opts
    const row = await store.read(headsTable, headKey, { part })
    const head = headSchema.safeParse(row?.value)
    if (row !== undefined && head.success && head.data.term === term) {
      this.#version = row.version
      return
    }
    this.#isDeposed = true
    this.#opts.onDeposed()
  }

  #check(version: number): Check {
    return { table: headsTable, part: this.#opts.part, key: headKey, version }
  }

  #head(): Write {
    const { part, fence, term } = this.#opts
    return { table: headsTable, part, key: headKey, value: { fence, term } }
  }
}

/** All rows of a job; the accepted job and its cancellation go when the job has ended. */
function rowsOf(job: JobState): Write[] {
  const { id, queue } = job.job
  const part = partOf(id)
  const rows: Write[] = [{ table: progressTable, part, key: id, value: job.encode() }]
  if (job.status !== 'queued' && job.isListedWaiting) {
    rows.push({ table: waitingTable, part, key: waitingKey(queue, id), value: null })
  }
  if (job.isFinal && !hasRuns(job)) {
    rows.push({ table: jobsTable, part, key: id, value: null })
    rows.push({ table: jobsTable, part, key: `${id}${cancelSuffix}`, value: null })
  }
  return rows
}

function hasRuns(job: JobState): boolean {
  return job.runningTasks().next().done !== true
}
