import { setImmediate } from 'node:timers/promises'
import { normalizeError, systemClock } from '@bulrushbridge/errors'
import { partHeadsTable, type JobExecution } from '@bulrushbridge/scheduler'
import { StoreError, wait, type Check, type TableService, type Write } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'
import { z } from 'zod'
import { groupIntoTransactions, markRowsUnstored, takeJobRows } from './job-rows.js'

/** Key of the head row of each part (partition) of the store; it names the term that may write. */
const headKey = 'dispatcher'

/** Most jobs whose rows are encoded at once; a transaction of usual jobs has as many. */
const maxJobsPerBatch = 24

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

/** Time after which a job that the store has rejected is written again, in milliseconds. */
const rejectedJobPauseMs = 5_000

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
  /** How long the oldest unwritten change has waited, in ms; jobs that the store rejects are left out. */
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

/** Result of a transaction: `rejected` if the store would refuse the same one again. */
type CommitOutcome = 'stored' | 'failed' | 'rejected'

class FencedPartWriter implements PartWriter {
  readonly #opts: PartWriterOptions
  readonly #closing = new AbortController()
  #pending = new Map<string, PendingWrite>()
  /** Writes of jobs that the store rejects; they keep no other job from being written. */
  readonly #rejected = new Map<string, PendingWrite>()
  /** Jobs are written one by one until then, because the store has rejected a transaction. */
  #soloUntil = 0
  #rejectedTimer: NodeJS.Timeout | undefined
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
      const existing = this.#pending.get(id) ?? this.#rejected.get(id)
      if (existing !== undefined) {
        existing.resolvers.push(resolve)
        return
      }
      this.#pending.set(id, { job, since: performance.now(), resolvers: [resolve] })
      this.#startLoop()
    })
  }

  lagMs(): number {
    const [first] = this.#pending.values()
    const oldest = this.#oldestInFlightSince ?? first?.since
    return oldest === undefined ? 0 : performance.now() - oldest
  }

  async close(): Promise<void> {
    this.#closing.abort()
    clearTimeout(this.#rejectedTimer)
    await this.#loopDone
  }

  #startLoop(): void {
    if (!this.#isWriting && this.#pending.size > 0) this.#loopDone = this.#writeLoop()
  }

  async #writeLoop(): Promise<void> {
    this.#isWriting = true
    // Changes made in the same turn of the event loop share a transaction, which is encoded in the next.
    await setImmediate()
    while (this.#pending.size > 0 && !this.#isStopped()) {
      await this.#writeBatch(this.#takeBatch())
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
    const maxJobs = performance.now() < this.#soloUntil ? 1 : maxJobsPerBatch
    const batch = [...this.#pending.values()].slice(0, maxJobs)
    for (const { job } of batch) this.#pending.delete(job.definition.id)
    return batch
  }

  /** Writes jobs, in as many transactions as their size asks for. */
  async #writeBatch(batch: readonly PendingWrite[]): Promise<void> {
    this.#oldestInFlightSince = batch[0]?.since
    const rows = new Map(batch.map(({ job }) => [job, takeJobRows(job)]))
    let outcome: CommitOutcome = 'stored'
    for (const { writes, completes } of groupIntoTransactions([...rows.values()])) {
      outcome = await this.#commit(writes, completes.length)
      if (outcome !== 'stored') break
      for (const { job, status } of completes) {
        rows.delete(job)
        if (status !== 'queued') job.hasQueuedRow = false
      }
    }
    const unwritten = batch.filter(({ job }) => rows.has(job))
    for (const each of rows.values()) markRowsUnstored(each)
    const [first] = unwritten
    if (outcome === 'rejected' && unwritten.length === 1 && first !== undefined) this.#reject(first)
    else this.#requeue(unwritten)
    if (outcome === 'rejected' && unwritten.length > 1)
      this.#soloUntil = performance.now() + rejectedJobPauseMs
    for (const { job, resolvers } of batch) {
      if (!unwritten.some(each => each.job === job)) for (const resolve of resolvers) resolve()
    }
  }

  /** Puts a job aside that the store rejects; it is written again after a pause. */
  #reject(write: PendingWrite): void {
    const { id } = write.job.definition
    this.#opts.log.error('the store rejects the rows of a job', { part: this.#opts.part, job: id })
    const later = this.#pending.get(id)
    if (later !== undefined) write.resolvers = write.resolvers.concat(later.resolvers)
    this.#pending.delete(id)
    this.#rejected.set(id, write)
    this.#rejectedTimer ??= setTimeout(() => {
      this.#rejectedTimer = undefined
      const since = performance.now()
      this.#requeue(Array.from(this.#rejected.values(), each => ({ ...each, since })))
      this.#rejected.clear()
      // Each of them is written alone, so that those which the store takes are told from the others.
      this.#soloUntil = performance.now() + rejectedJobPauseMs / 2
      this.#startLoop()
    }, rejectedJobPauseMs)
  }

  #requeue(batch: readonly PendingWrite[]): void {
    if (batch.length === 0) return
    const later = this.#pending
    this.#pending = new Map(batch.map(each => [each.job.definition.id, each]))
    for (const [id, each] of later) {
      const existing = this.#pending.get(id)
      if (existing === undefined) this.#pending.set(id, each)
      else existing.resolvers = existing.resolvers.concat(each.resolvers)
    }
  }

  async #commit(rows: readonly Write[], jobs: number): Promise<CommitOutcome> {
    const { store, part, log } = this.#opts
    try {
      const result = await store.commit(
        { checks: [this.#headCheck(this.#version)], writes: [this.#headWrite(), ...rows] },
        { part, deadline: performance.now() + commitTimeoutMs },
      )
      if (result.committed && result.version !== undefined) {
        this.#version = result.version
        return 'stored'
      }
      await this.#checkOwnership()
    } catch (err) {
      const { message } = normalizeError(err)
      const isUnknown = err instanceof StoreError && !err.isResultKnown
      const isRejected = err instanceof StoreError && err.isRejected
      const size = { jobs, rows: rows.length }
      log.warn('job transaction failed', { part, ...size, isUnknown, isRejected, reason: message })
      if (isRejected) return 'rejected'
      await wait(systemClock, retryPauseMs, this.#closing.signal)
    }
    return 'failed'
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
