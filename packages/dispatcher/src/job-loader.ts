import { normalizeError, systemClock } from '@bulrushbridge/errors'
import {
  acceptedJobsTable,
  chunkCountOf,
  definitionChunksTable,
  jobSchema,
  joinDefinition,
  partOf,
  type JobDefinition,
  type Progress,
  type StoredBlock,
} from '@bulrushbridge/scheduler'
import { wait, type TableService } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'
import { definitionBytes, type MemoryBudget } from './memory-budget.js'

/** Pause after a failed read of a definition, in milliseconds. */
const retryPauseMs = 200

/** Most definitions that are read at once. */
const maxReads = 8

/** Progress of a job that an earlier dispatcher stored. */
export interface StoredProgress {
  progress?: Progress
  blocks?: readonly StoredBlock[]
}

/** A definition that is ready to be executed. */
export interface LoadedJob extends StoredProgress {
  definition: JobDefinition
  /** Number of rows that hold the definition beside the row of the job. */
  chunks: number
}

/** Options of {@link createJobLoader}. */
export interface JobLoaderOptions {
  store: TableService
  log: Logger
  /** Called for each job once it is in memory; at once for most jobs. */
  onLoaded: (job: LoadedJob) => void
  /** Jobs for which it has no room wait in the store, so that no backlog ends the process. */
  memory: MemoryBudget
}

/** Keeps the definitions in memory within a limit, and reads those that are in several rows. */
export interface JobLoader {
  /** Takes the row of a job. It is loaded at once if it has run before, however many there are. */
  add(id: string, value: unknown, stored: StoredProgress): void
  /** Whether the job waits to be loaded. */
  isWaiting(id: string): boolean
  /** Loads a waiting job next, beyond the limit if need be. */
  hurry(id: string): void
  /** Forgets a job that has ended, so that another one can be loaded. */
  remove(id: string): void
  /** Loads jobs for which there has come to be room. */
  loadWaiting(): void
  /** Resolves when all jobs that have run before are loaded. */
  whenStartedJobsLoaded(): Promise<void>
  close(): void
}

/**
 * Creates the loader of a term.
 *
 * @example
 * const loader = createJobLoader({ store, log, onLoaded: job => jobs.set(job.definition.id, job) })
 * loader.add(row.key, row.value, {})
 */
export function createJobLoader(opts: JobLoaderOptions): JobLoader {
  return new LimitedJobLoader(opts)
}

interface WaitingJob {
  id: string
  organisation: string
  /** Estimate of the memory that the job takes once it is loaded. */
  bytes: number
  stored: StoredProgress
}

/** What is known of a job before it is loaded. */
interface Outline {
  organisation: string
  bytes: number
}

class LimitedJobLoader implements JobLoader {
  readonly #opts: JobLoaderOptions
  readonly #closing = new AbortController()
  readonly #loaded = new Map<string, Outline>()
  readonly #waiting = new Map<string, WaitingJob>()
  /** Waiting jobs that are not being read, in the order of their arrival, by organisation. */
  readonly #queues = new Map<string, Set<WaitingJob>>()
  /** Waiting jobs that are loaded before the others and beyond the limit. */
  readonly #urgent = new Set<string>()
  #reads = 0
  #resolveStarted: (() => void)[] = []

  constructor(opts: JobLoaderOptions) {
    this.#opts = opts
  }

  add(id: string, value: unknown, stored: StoredProgress): void {
    if (this.#loaded.has(id) || this.#waiting.has(id)) return
    const chunks = chunkCountOf(value)
    const definition = chunks === undefined ? jobSchema.safeParse(value).data : undefined
    // A job under the key of another would share the names of its tasks.
    if (chunks === undefined && definition?.id !== id) {
      this.#opts.log.error('stored job has an invalid format', { job: id })
      return
    }
    const outline = {
      organisation: definition?.organisation ?? '',
      bytes: definition === undefined ? (chunks ?? 0) * 100_000 : definitionBytes(definition),
    }
    const hasStarted = hasState(stored)
    if (definition !== undefined && (hasStarted || this.#hasRoom(outline))) {
      this.#finish({ definition, chunks: 0, ...stored }, outline)
      return
    }
    const waiting = { id, ...outline, stored }
    this.#opts.log.info('job waits to be loaded', {
      job: id,
      chunks,
      usedBytes: this.#opts.memory.usedBytes,
      waiting: this.#waiting.size,
    })
    this.#waiting.set(id, waiting)
    if (hasStarted) this.#urgent.add(id)
    const queue = this.#queues.get(outline.organisation)
    if (queue === undefined) this.#queues.set(outline.organisation, new Set([waiting]))
    else queue.add(waiting)
    this.#readNext()
  }

  isWaiting(id: string): boolean {
    return this.#waiting.has(id)
  }

  hurry(id: string): void {
    if (!this.#waiting.has(id)) return
    this.#urgent.add(id)
    this.#readNext()
  }

  remove(id: string): void {
    const outline = this.#loaded.get(id)
    if (outline === undefined) return
    this.#loaded.delete(id)
    this.#opts.memory.release(outline.organisation, outline.bytes, 'definition')
    this.#readNext()
  }

  loadWaiting(): void {
    this.#readNext()
  }

  whenStartedJobsLoaded(): Promise<void> {
    if (this.#urgent.size === 0) return Promise.resolve()
    return new Promise(resolve => this.#resolveStarted.push(resolve))
  }

  close(): void {
    this.#closing.abort()
    for (const resolve of this.#resolveStarted.splice(0)) resolve()
  }

  #hasRoom({ organisation, bytes }: Outline): boolean {
    return this.#opts.memory.hasRoom(organisation, bytes, 'definition')
  }

  #finish(job: LoadedJob, outline: Outline): void {
    this.#loaded.set(job.definition.id, outline)
    this.#opts.memory.take(outline.organisation, outline.bytes, 'definition')
    this.#opts.onLoaded(job)
  }

  #readNext(): void {
    while (this.#reads < maxReads && !this.#closing.signal.aborted) {
      const next = this.#nextWaiting()
      if (next === undefined) return
      const queue = this.#queues.get(next.organisation)
      queue?.delete(next)
      if (queue?.size === 0) this.#queues.delete(next.organisation)
      this.#reads += 1
      void this.#read(next).finally(() => {
        this.#reads -= 1
        this.#urgent.delete(next.id)
        if (this.#urgent.size === 0) for (const resolve of this.#resolveStarted.splice(0)) resolve()
        this.#readNext()
      })
    }
  }

  /** Jobs wait in the order of their arrival, but an organisation at its limit holds up no other. */
  #nextWaiting(): WaitingJob | undefined {
    for (const id of this.#urgent) {
      const waiting = this.#waiting.get(id)
      if (waiting !== undefined && this.#queues.get(waiting.organisation)?.has(waiting) === true)
        return waiting
    }
    for (const queue of this.#queues.values()) {
      const [first] = queue
      if (first !== undefined && this.#hasRoom(first)) return first
    }
    return undefined
  }

  async #read(waiting: WaitingJob): Promise<void> {
    const { id, stored } = waiting
    while (!this.#closing.signal.aborted) {
      try {
        const job = await this.#readDefinition(id)
        // Nothing is awaited between the removal and the addition: the job is always in one of both.
        this.#waiting.delete(id)
        if (job === undefined) return
        const outline = {
          organisation: job.definition.organisation ?? '',
          bytes: definitionBytes(job.definition),
        }
        this.#finish({ ...job, ...stored }, outline)
        return
      } catch (err) {
        const reason = normalizeError(err).message
        this.#opts.log.warn('definition of a job could not be read', { job: id, reason })
        await wait(systemClock, retryPauseMs, this.#closing.signal)
      }
    }
  }

  /** Undefined if the job is gone or its rows are malformed. */
  async #readDefinition(id: string): Promise<Omit<LoadedJob, 'progress'> | undefined> {
    const { store, log } = this.#opts
    const part = partOf(id)
    const row = await store.read(acceptedJobsTable, id, { part })
    if (row === undefined) return undefined
    const chunks = chunkCountOf(row.value) ?? 0
    let definition = jobSchema.safeParse(row.value).data
    if (chunks > 0) {
      // The range covers the keys with the prefix, because "/" is the character after ".".
      const rows = await store.scan(definitionChunksTable, { part, from: `${id}.`, to: `${id}/` })
      const values = new Map(rows.map(({ key, value }) => [key, value]))
      definition = joinDefinition(
        Array.from({ length: chunks }, (_, n) => values.get(`${id}.${n}`)),
      )
    }
    if (definition?.id === id) return { definition, chunks }
    log.error('stored job has an invalid format', { job: id })
    return undefined
  }
}

/** Whether an earlier dispatcher may have started tasks of the job. */
function hasState({ progress, blocks = [] }: StoredProgress): boolean {
  if (blocks.length > 0) return true
  if (progress === undefined) return false
  const { status, occurrences = {}, steps = {}, complete = [] } = progress
  return (
    status !== 'queued' ||
    Object.keys(occurrences).length > 0 ||
    Object.keys(steps).length > 0 ||
    complete.length > 0
  )
}
