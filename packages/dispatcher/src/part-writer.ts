import { normalizeError, systemClock } from '@bulrushbridge/errors'
import {
  cancelSuffix,
  partHeadsTable,
  acceptedJobsTable,
  partOf,
  progressTable,
  queuedJobKey,
  queuedJobsTable,
  type JobExecution,
} from '@bulrushbridge/scheduler'
import { StoreError, wait, type Check, type TableService, type Write } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'
import { z } from 'zod'

/** Key of the head row of each part (partition) of the store; it names the term that may write. */
const headKey = 'dispatcher'

/** Most jobs in one transaction; each takes up to four of the 100 entries that the store allows. */
const maxJobsPerTransaction = 24

/**
 * Timeout of one transaction, in ms; it takes 700 ms in a slow store, and other transactions may be
 * queued before it.
 */
const commitTimeoutMs = 1_500

/**
 * Pause after a transaction while more changes wait, in milliseconds, so that the next transaction
 * carries more of them. Ends and starts of the tasks of a job come close together and share a row.
 */
const batchPauseMs = 15

/** Pause after a failed transaction, in milliseconds; its result may be unknown. */
const retryPauseMs = 100

const headSchema = z.object({ fence: z.number(), term: z.string() })

/** Thrown when another dispatcher has taken over, and when the writer is closed during a claim. */
export class FencedError extends Error {
  constructor() {
    super('another dispatcher has taken over')
    this.name = 'FencedError'
  }
}

/** Options of {@link createPartWriter}. */
export interface PartWriterOptions {
  store: TableService
  part: string
  /** Fencing token of the term. */
  fence: number
  /** Unique id of the term. */
  term: string
  log: Logger
  /** Called when another dispatcher has taken over. */
  onFenced: () => void
}

/** Writes the jobs of one part of the store, one transaction after another. */
export interface PartWriter {
  /** Takes the part over from earlier terms; rejects with a FencedError if a later term has it. */
  claim(): Promise<void>
  /**
   * Resolves when the job's current state or a later one is stored. Never settles if the writer is
   * closed, or another dispatcher takes over, before that.
   */
  write(job: JobExecution): Promise<void>
  /** How long the oldest unwritten change has waited, in milliseconds. */
  lagMs(): number
  close(): Promise<void>
}

/**
 * Creates the writer of one part. Every transaction checks the version of the part's head row and
 * replaces the row, so that a transaction that takes effect late, or after a takeover, fails.
 *
 * @example
 * const writer = createPartWriter({ store, part: 'p0', fence: 7, term, log, onFenced })
 * await writer.claim()
 * await writer.write(job)
 */
export function createPartWriter(opts: PartWriterOptions): PartWriter {
  return new FencedPartWriter(opts)
}

interface PendingWrite {
  job: JobExecution
  since: number
  resolvers: (() => void)[]
}

class FencedPartWriter implements PartWriter {
  readonly #opts: PartWriterOptions
  readonly #closing = new AbortController()
  #pending = new Map<string, PendingWrite>()
  #version = 0
  #loopDone: Promise<void> | undefined
  #isWriting = false
  #oldestInFlightSince: number | undefined
  #isFenced = false

  constructor(opts: PartWriterOptions) {
    this.#opts = opts
  }

  async claim(): Promise<void> {
    const { store, part, fence, term } = this.#opts
    for (;;) {
      if (this.#closing.signal.aborted) throw new FencedError()
      const row = await store.read(partHeadsTable, headKey, { part })
      const head = headSchema.safeParse(row?.value)
      if (head.success && head.data.fence > fence) throw new FencedError()
      if (row !== undefined && head.success && head.data.term === term) {
        this.#version = row.version
        return
      }
      const result = await store.commit(
        { checks: [this.#headCheck(row?.version ?? 0)], writes: [this.#headWrite()] },
        { part },
      )
      if (result.committed && result.version !== undefined) {
        this.#version = result.version
        return
      }
    }
  }

  write(job: JobExecution): Promise<void> {
    return new Promise(resolve => {
      const { id } = job.definition
      const existing = this.#pending.get(id)
      if (existing === undefined) {
        this.#pending.set(id, { job, since: performance.now(), resolvers: [resolve] })
      } else existing.resolvers.push(resolve)
      if (!this.#isWriting) this.#loopDone = this.#writeLoop()
    })
  }

  lagMs(): number {
    const [first] = this.#pending.values()
    const oldest = this.#oldestInFlightSince ?? first?.since
    return oldest === undefined ? 0 : performance.now() - oldest
  }

  async close(): Promise<void> {
    this.#closing.abort()
    await this.#loopDone
  }

  async #writeLoop(): Promise<void> {
    this.#isWriting = true
    // Changes made in the same synchronous step share a transaction.
    await Promise.resolve()
    while (this.#pending.size > 0 && !this.#isStopped()) {
      const batch = this.#takeBatch()
      this.#oldestInFlightSince = batch[0]?.since
      const isStored = await this.#commit(batch)
      if (isStored) for (const { resolvers } of batch) for (const resolve of resolvers) resolve()
      else this.#requeue(batch)
      this.#oldestInFlightSince = undefined
      if (this.#pending.size > 0) await wait(systemClock, batchPauseMs, this.#closing.signal)
    }
    // Reset in the same step as the last check for pending writes: a change made by a caller whose
    // write has just been stored must start a new loop.
    this.#isWriting = false
  }

  #isStopped(): boolean {
    return this.#isFenced || this.#closing.signal.aborted
  }

  #takeBatch(): PendingWrite[] {
    const batch = [...this.#pending.values()].slice(0, maxJobsPerTransaction)
    for (const { job } of batch) this.#pending.delete(job.definition.id)
    return batch
  }

  #requeue(batch: PendingWrite[]): void {
    const later = this.#pending
    this.#pending = new Map(batch.map(each => [each.job.definition.id, each]))
    for (const [id, each] of later) {
      const existing = this.#pending.get(id)
      if (existing === undefined) this.#pending.set(id, each)
      else existing.resolvers.push(...each.resolvers)
    }
  }

  /** Returns whether the batch is stored; if not, it must be written again. */
  async #commit(batch: readonly PendingWrite[]): Promise<boolean> {
    const { store, part, log } = this.#opts
    try {
      const writes = [this.#headWrite(), ...batch.flatMap(({ job }) => rowsOfJob(job))]
      const result = await store.commit(
        { checks: [this.#headCheck(this.#version)], writes },
        { part, deadline: performance.now() + commitTimeoutMs },
      )
      if (result.committed && result.version !== undefined) {
        this.#version = result.version
        for (const { job } of batch) if (job.status !== 'queued') job.hasQueuedRow = false
        return true
      }
      await this.#checkOwnership()
    } catch (err) {
      const { message } = normalizeError(err)
      const isUnknown = err instanceof StoreError && !err.isResultKnown
      log.warn('job transaction failed', { part, jobs: batch.length, isUnknown, reason: message })
      await wait(systemClock, retryPauseMs, this.#closing.signal)
    }
    return false
  }

  /**
   * Checks after a failed transaction whether this term still owns the part. If the head row names
   * this term, an earlier transaction took effect although its answer was lost; otherwise another
   * term has taken over, and the writer stops.
   */
  async #checkOwnership(): Promise<void> {
    const { store, part, term } = this.#opts
    const row = await store.read(partHeadsTable, headKey, { part })
    const head = headSchema.safeParse(row?.value)
    if (row !== undefined && head.success && head.data.term === term) {
      this.#version = row.version
      return
    }
    this.#isFenced = true
    this.#opts.onFenced()
  }

  #headCheck(version: number): Check {
    return { table: partHeadsTable, part: this.#opts.part, key: headKey, version }
  }

  #headWrite(): Write {
    const { part, fence, term } = this.#opts
    return { table: partHeadsTable, part, key: headKey, value: { fence, term } }
  }
}

/** All writes for a job; the accepted job and its cancellation are deleted once it has ended. */
function rowsOfJob(job: JobExecution): Write[] {
  const { id, queue } = job.definition
  const part = partOf(id)
  const rows: Write[] = [{ table: progressTable, part, key: id, value: job.encode() }]
  if (job.status !== 'queued' && job.hasQueuedRow) {
    rows.push({ table: queuedJobsTable, part, key: queuedJobKey(queue, id), value: null })
  }
  if (job.hasEnded && !hasRuns(job)) {
    rows.push({ table: acceptedJobsTable, part, key: id, value: null })
    rows.push({ table: acceptedJobsTable, part, key: `${id}${cancelSuffix}`, value: null })
  }
  return rows
}

function hasRuns(job: JobExecution): boolean {
  return job.tasksWithRun().next().done !== true
}
