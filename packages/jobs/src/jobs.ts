import { createHash, randomBytes } from 'node:crypto'
import { RequestError, systemClock, type Clock } from '@bulrushbridge/errors'
import {
  StoreError,
  type CallOptions,
  type Committer,
  type TableService,
  type Transaction,
} from '@bulrushbridge/store'
import { cancelJobsById, cancelJobRows, emptyCancelResult, type CancelResult } from './cancel.js'
import {
  jobKey,
  idempotencyKeysTable,
  storedJobsTable,
  encodeKeyPart,
  payloadsTable,
  queuedRowWrite,
  type StoredJob,
  type RequestedResources,
  type StoredJobState,
} from './job.js'
import {
  createPoolSummaryCache,
  exceedsEveryWorker,
  type PoolSummaryCache,
} from './pool-summary.js'

/** Most rows that one scan reads. */
const rowsPerPage = 500

/** Most jobs that one call of `list` or `cancel` examines. The caller continues at `next`. */
const maxJobsPerCall = 5_000

/** Options of {@link createJobService}. */
export interface JobServiceOptions {
  table: TableService
  /** Commits accepted jobs and cancellations. Defaults to `table`. */
  committer?: Committer
  /** Name of this entry host. */
  member: string
  clock?: Clock
  /** Returns the wall-clock time in milliseconds, which determines the order of jobs. */
  wallClock?: () => number
}

/** A job to accept. */
export interface AcceptOptions {
  team: string
  queue: string
  /** Pool of the queue. When given, a job that is too large for every worker is refused. */
  pool?: string
  idempotent: boolean
  urgent: boolean
  request: RequestedResources
  /** Name of the job's kind. Defaults to the queue's name. */
  kind?: string
  payload: unknown
  idempotencyKey?: string
  /** Deadline in milliseconds, on the clock of the table service. */
  deadline?: number
}

/** A page of a queue's jobs, in order of acceptance. */
export interface JobPage {
  jobs: StoredJob[]
  /** Value of `after` for the next page. Absent on the last page. */
  next?: string
}

/** Which jobs to cancel: some by id or all of a queue. `after` continues an earlier call. */
export type CancelOptions =
  { team: string; ids: string[] } | { team: string; queue: string; all: true; after?: string }

/** Accepts, lists and cancels jobs. */
export interface JobService {
  /**
   * Resolves with the id once the job is durably stored. Rejects with a RequestError.
   * `store-unavailable` has the outcome `unknown` when the job may have been accepted.
   * `job-too-large` occurs only when the largest workers of the pool are known.
   */
  accept(opts: AcceptOptions): Promise<string>
  /** Expected wait of a new job, in milliseconds. Undefined when nothing is known of the pool. */
  expectedWaitMs(opts: { team: string; pool: string }): Promise<number | undefined>
  /** Reads a job. Resolves with undefined when the team has no such job. */
  get(opts: { team: string; id: string } & CallOptions): Promise<StoredJob | undefined>
  /** Reads the payload that the submitter sent with the job. */
  getPayload(opts: { team: string; id: string } & CallOptions): Promise<unknown>
  /** Lists the jobs of a queue, optionally only those in one state. */
  list(opts: {
    team: string
    queue: string
    state?: StoredJobState
    after?: string
    limit: number
  }): Promise<JobPage>
  /**
   * Cancels jobs, at most a bounded number of a queue's jobs per call. Repeat the call with
   * `after: next` until `next` is absent, and with the ids in `unsettled`.
   */
  cancel(opts: CancelOptions): Promise<CancelResult & { next?: string }>
}

/** Value of a row in `job-keys`. */
interface IdempotencyKeyRow {
  id: string
  /** Digest of the request that was accepted under the key. */
  fingerprint: string
  at: number
}

/**
 * Creates the service with which an entry host accepts, lists and cancels jobs.
 *
 * @example
 * const id = await jobs.accept({ team, queue, idempotent: true, urgent: false, request, payload })
 */
export function createJobService(opts: JobServiceOptions): JobService {
  return new TableJobService(opts)
}

class TableJobService implements JobService {
  readonly #opts: JobServiceOptions
  readonly #committer: Committer
  readonly #summaries: PoolSummaryCache

  constructor(opts: JobServiceOptions) {
    this.#opts = opts
    this.#committer = opts.committer ?? opts.table
    const { table, clock = systemClock, wallClock = Date.now } = opts
    this.#summaries = createPoolSummaryCache({ table, clock, wallClock })
  }

  async accept(opts: AcceptOptions): Promise<string> {
    const job = this.#createJob(opts)
    const tx: Transaction = {
      checks: [{ table: storedJobsTable, key: jobKey(job.team, job.id), version: 0 }],
      writes: [
        { table: storedJobsTable, key: jobKey(job.team, job.id), value: job },
        { table: payloadsTable, key: jobKey(job.team, job.id), value: { payload: opts.payload } },
        queuedRowWrite(job),
      ],
    }
    if (opts.idempotencyKey !== undefined) {
      const key = [opts.team, opts.queue, opts.idempotencyKey].map(encodeKeyPart).join('/')
      const value: IdempotencyKeyRow = {
        id: job.id,
        fingerprint: requestFingerprint(opts),
        at: job.acceptedAt,
      }
      tx.checks.push({ table: idempotencyKeysTable, key, version: 0 })
      tx.writes.push({ table: idempotencyKeysTable, key, value })
    }
    const callOpts = opts.deadline === undefined ? {} : { deadline: opts.deadline }
    if (await this.#isTooLarge(opts)) {
      // A repeated request is not refused when its job was accepted while the pool had larger
      // workers.
      const earlierId = opts.idempotencyKey && (await this.#findEarlierId(tx, callOpts))
      if (earlierId) return earlierId
      throw new RequestError('job-too-large')
    }
    try {
      const result = await this.#committer.commit(tx, callOpts)
      if (result.committed) return job.id
    } catch (cause) {
      if (!(cause instanceof StoreError)) throw cause
      // The outcome is `not-run` only if the job is certainly not stored; a stored job may run.
      const outcome = cause.isResultKnown ? 'not-run' : 'unknown'
      throw new RequestError('store-unavailable', { outcome, cause })
    }
    const id = await this.#findEarlierId(tx, callOpts)
    if (id !== undefined) return id
    const cause = new StoreError('the idempotency key was removed during the acceptance')
    throw new RequestError('store-unavailable', { outcome: 'unknown', cause })
  }

  async expectedWaitMs({
    team,
    pool,
  }: {
    team: string
    pool: string
  }): Promise<number | undefined> {
    const summary = await this.#summaries.get(pool)
    return summary === undefined ? undefined : (summary.waitMs[team] ?? 0)
  }

  async get(opts: { team: string; id: string } & CallOptions): Promise<StoredJob | undefined> {
    const callOpts = opts.deadline === undefined ? {} : { deadline: opts.deadline }
    const row = await this.#opts.table.read<StoredJob>(
      storedJobsTable,
      jobKey(opts.team, opts.id),
      callOpts,
    )
    return row?.value
  }

  async getPayload(opts: { team: string; id: string } & CallOptions): Promise<unknown> {
    const callOpts = opts.deadline === undefined ? {} : { deadline: opts.deadline }
    const key = jobKey(opts.team, opts.id)
    const row = await this.#opts.table.read<{ payload: unknown }>(payloadsTable, key, callOpts)
    return row?.value.payload
  }

  async list(opts: Parameters<JobService['list']>[0]): Promise<JobPage> {
    const jobs: StoredJob[] = []
    let after = opts.after
    for (let examined = 0; examined < maxJobsPerCall; examined += rowsPerPage) {
      const rows = await this.#readPage(opts.team, opts.queue, after)
      for (const { value: job } of rows) {
        if (jobs.length >= opts.limit) return after === undefined ? { jobs } : { jobs, next: after }
        after = job.id
        if (opts.state === undefined || job.state === opts.state) jobs.push(job)
      }
      if (rows.length < rowsPerPage) return { jobs }
    }
    return after === undefined ? { jobs } : { jobs, next: after }
  }

  async cancel(opts: CancelOptions): Promise<CancelResult & { next?: string }> {
    const storage = { table: this.#opts.table, committer: this.#committer }
    if ('ids' in opts) return cancelJobsById(storage, opts.team, opts.ids)
    const result = emptyCancelResult()
    let after = opts.after
    for (let examined = 0; examined < maxJobsPerCall; examined += rowsPerPage) {
      const rows = await this.#readPage(opts.team, opts.queue, after).catch((err: unknown) => {
        // The call still returns the result of the earlier pages; the caller continues at `next`.
        if (examined > 0 && err instanceof StoreError) return undefined
        throw err
      })
      if (rows === undefined) break
      const changedIds = await cancelJobRows(storage, rows, result)
      const retried = await cancelJobsById(storage, opts.team, changedIds)
      for (const name of Object.keys(result) as (keyof CancelResult)[]) {
        result[name].push(...retried[name])
      }
      if (rows.length < rowsPerPage) return result
      after = rows.at(-1)?.value.id
      // The store is probably failing, so the jobs of further pages would be unsettled as well.
      if (result.unsettled.length > 0) break
    }
    return after === undefined ? result : { ...result, next: after }
  }

  async #isTooLarge({ pool, request }: AcceptOptions): Promise<boolean> {
    const summary = pool === undefined ? undefined : await this.#summaries.get(pool)
    return summary !== undefined && exceedsEveryWorker(request, summary.largest)
  }

  /**
   * Id of the job that was accepted earlier under the same idempotency key. Rejects with
   * `idempotency-key-reused` when that job was requested with different values,
   * and resolves with undefined when the key is not stored.
   */
  async #findEarlierId(tx: Transaction, callOpts: CallOptions): Promise<string | undefined> {
    const keyWrite = tx.writes.find(({ table }) => table === idempotencyKeysTable)
    const ownRow = keyWrite?.value as IdempotencyKeyRow | undefined
    try {
      if (keyWrite === undefined || ownRow === undefined)
        throw new StoreError('the generated job id is already in use')
      const row = await this.#opts.table.read<IdempotencyKeyRow>(
        idempotencyKeysTable,
        keyWrite.key,
        callOpts,
      )
      if (row === undefined) return undefined
      if (row.value.fingerprint !== ownRow.fingerprint) {
        throw new RequestError('idempotency-key-reused')
      }
      return row.value.id
    } catch (cause) {
      if (!(cause instanceof StoreError)) throw cause
      // An earlier attempt may have been accepted under the same key.
      throw new RequestError('store-unavailable', { outcome: 'unknown', cause })
    }
  }

  #readPage(team: string, queue: string, after: string | undefined) {
    const prefix = jobKey(team, encodeKeyPart(queue))
    // "/" follows "." in character order, so the range ends after the last id of the queue. With
    // "\0", the smallest suffix, the range starts just after the id in `after`.
    const from = after === undefined ? `${prefix}.` : `${jobKey(team, after)}\0`
    return this.#opts.table.scan<StoredJob>(storedJobsTable, {
      from,
      to: `${prefix}/`,
      limit: rowsPerPage,
    })
  }

  #createJob(opts: AcceptOptions): StoredJob {
    const { team, queue, idempotent, urgent, request } = opts
    const acceptedAt = (this.#opts.wallClock ?? Date.now)()
    const time = acceptedAt.toString(36).padStart(9, '0')
    const id = `${encodeKeyPart(queue)}.${time}${randomBytes(8).toString('hex')}`
    const member = this.#opts.member
    return {
      id,
      team,
      queue,
      state: 'queued',
      idempotent,
      urgent,
      request,
      kind: opts.kind ?? queue,
      member,
      acceptedAt,
    }
  }
}

/** Digest of the values that must be equal when an idempotency key is used again. */
function requestFingerprint({ idempotent, urgent, request, kind, payload }: AcceptOptions): string {
  const { cpus, memoryMb, accelerators, runMs } = request
  const values = [idempotent, urgent, cpus, memoryMb, accelerators, runMs, kind, payload]
  return createHash('sha256').update(JSON.stringify(values)).digest('base64')
}
