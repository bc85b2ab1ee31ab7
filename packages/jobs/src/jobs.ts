import { createHash, randomBytes } from 'node:crypto'
import { RequestError, systemClock, type Clock } from '@bulrushbridge/errors'
import {
  StoreError,
  type CallOptions,
  type Committer,
  type TableService,
  type Transaction,
} from '@bulrushbridge/store'
import { cancelIds, cancelRows, nothingCancelled, type Cancelled } from './cancel.js'
import {
  jobKey,
  jobKeysTable,
  jobsTable,
  keyPart,
  payloadsTable,
  queuedWrite,
  type Job,
  type JobRequest,
  type JobState,
} from './job.js'
import { createPoolSummaries, exceedsAll, type PoolSummaries } from './pool-summary.js'

/** Jobs read by one scan. */
const pageRows = 500

/** Jobs that one call of `list` or `cancel` examines at most; the caller continues at `next`. */
const maxExamined = 5_000

/** Options of {@link createJobs}. */
export interface JobsOptions {
  table: TableService
  /** Commits accepted jobs and cancellations; the table itself unless given. */
  committer?: Committer
  /** Name of this entry host. */
  member: string
  clock?: Clock
  /** Wall clock in milliseconds, for the order of jobs. */
  wallClock?: () => number
}

/** A job to be accepted. */
export interface AcceptOptions {
  team: string
  queue: string
  /** Pool of the queue; with it a job that no worker holds is refused. */
  pool?: string
  idempotent: boolean
  urgent: boolean
  request: JobRequest
  /** Name of the job's kind; the queue's name unless given. */
  kind?: string
  payload: unknown
  idempotencyKey?: string
  /** On the clock of the table service. */
  deadline?: number
}

/** A page of a queue's jobs in the order of acceptance. */
export interface JobPage {
  jobs: Job[]
  /** Pass it as `after` to continue; absent at the end. */
  next?: string
}

/** Which jobs to cancel; `after` continues an earlier call. */
export type CancelOptions =
  { team: string; ids: string[] } | { team: string; queue: string; all: true; after?: string }

/** Accepts, lists and cancels jobs. */
export interface Jobs {
  /**
   * Resolves with the id when the job is durable. Rejects with a RequestError: `store-unavailable`
   * has the outcome `unknown` when the job may have been accepted, and `job-too-large` is given
   * only when the largest workers of the pool are known.
   */
  accept(opts: AcceptOptions): Promise<string>
  /** Expected wait of a further job, in milliseconds; undefined when the pool is not known. */
  waitMs(opts: { team: string; pool: string }): Promise<number | undefined>
  get(opts: { team: string; id: string } & CallOptions): Promise<Job | undefined>
  /** What the submitter handed over with the job. */
  payload(opts: { team: string; id: string } & CallOptions): Promise<unknown>
  list(opts: {
    team: string
    queue: string
    state?: JobState
    after?: string
    limit: number
  }): Promise<JobPage>
  /**
   * Cancels waves of jobs in bounded steps. Repeat it with `after: next` until `next` is absent,
   * and with the ids in `unsettled`.
   */
  cancel(opts: CancelOptions): Promise<Cancelled & { next?: string }>
}

/** Value of a row in `job-keys`. */
interface JobKeyRow {
  id: string
  /** Digest of what was asked for under the key. */
  fingerprint: string
  at: number
}

/**
 * Creates the jobs of one entry host.
 *
 * @example
 * const id = await jobs.accept({ team, queue, idempotent: true, urgent: false, request, payload })
 */
export function createJobs(opts: JobsOptions): Jobs {
  return new StoredJobs(opts)
}

class StoredJobs implements Jobs {
  readonly #opts: JobsOptions
  readonly #committer: Committer
  readonly #summaries: PoolSummaries

  constructor(opts: JobsOptions) {
    this.#opts = opts
    this.#committer = opts.committer ?? opts.table
    const { table, clock = systemClock, wallClock = Date.now } = opts
    this.#summaries = createPoolSummaries({ table, clock, wallClock })
  }

  async accept(opts: AcceptOptions): Promise<string> {
    const job = this.#newJob(opts)
    const tx: Transaction = {
      checks: [{ table: jobsTable, key: jobKey(job.team, job.id), version: 0 }],
      writes: [
        { table: jobsTable, key: jobKey(job.team, job.id), value: job },
        { table: payloadsTable, key: jobKey(job.team, job.id), value: { payload: opts.payload } },
        queuedWrite(job),
      ],
    }
    if (opts.idempotencyKey !== undefined) {
      const key = [opts.team, opts.queue, opts.idempotencyKey].map(keyPart).join('/')
      const value: JobKeyRow = { id: job.id, fingerprint: fingerprint(opts), at: job.acceptedAt }
      tx.checks.push({ table: jobKeysTable, key, version: 0 })
      tx.writes.push({ table: jobKeysTable, key, value })
    }
    const callOpts = opts.deadline === undefined ? {} : { deadline: opts.deadline }
    if (await this.#isTooLarge(opts)) {
      // A repeat of a job that was accepted while the pool had larger workers is not refused.
      const earlier = opts.idempotencyKey && (await this.#acceptedEarlier(tx, callOpts))
      if (earlier) return earlier
      throw new RequestError('job-too-large')
    }
    try {
      const result = await this.#committer.commit(tx, callOpts)
      if (result.committed) return job.id
    } catch (cause) {
      if (!(cause instanceof StoreError)) throw cause
      // A job that may be stored may run, so `not-run` would be untrue.
      const outcome = cause.settled ? 'not-run' : 'unknown'
      throw new RequestError('store-unavailable', { outcome, cause })
    }
    const id = await this.#acceptedEarlier(tx, callOpts)
    if (id !== undefined) return id
    const cause = new StoreError('the idempotency key was removed meanwhile')
    throw new RequestError('store-unavailable', { outcome: 'unknown', cause })
  }

  async waitMs({ team, pool }: { team: string; pool: string }): Promise<number | undefined> {
    const summary = await this.#summaries.get(pool)
    return summary === undefined ? undefined : (summary.waitMs[team] ?? 0)
  }

  async get(opts: { team: string; id: string } & CallOptions): Promise<Job | undefined> {
    const callOpts = opts.deadline === undefined ? {} : { deadline: opts.deadline }
    const row = await this.#opts.table.read<Job>(jobsTable, jobKey(opts.team, opts.id), callOpts)
    return row?.value
  }

  async payload(opts: { team: string; id: string } & CallOptions): Promise<unknown> {
    const callOpts = opts.deadline === undefined ? {} : { deadline: opts.deadline }
    const key = jobKey(opts.team, opts.id)
    const row = await this.#opts.table.read<{ payload: unknown }>(payloadsTable, key, callOpts)
    return row?.value.payload
  }

  async list(opts: Parameters<Jobs['list']>[0]): Promise<JobPage> {
    const jobs: Job[] = []
    let after = opts.after
    for (let examined = 0; examined < maxExamined; examined += pageRows) {
      const rows = await this.#page(opts.team, opts.queue, after)
      for (const { value: job } of rows) {
        if (jobs.length >= opts.limit) return after === undefined ? { jobs } : { jobs, next: after }
        after = job.id
        if (opts.state === undefined || job.state === opts.state) jobs.push(job)
      }
      if (rows.length < pageRows) return { jobs }
    }
    return after === undefined ? { jobs } : { jobs, next: after }
  }

  async cancel(opts: CancelOptions): Promise<Cancelled & { next?: string }> {
    const storage = { table: this.#opts.table, committer: this.#committer }
    if ('ids' in opts) return cancelIds(storage, opts.team, opts.ids)
    const result = nothingCancelled()
    let after = opts.after
    for (let examined = 0; examined < maxExamined; examined += pageRows) {
      const rows = await this.#page(opts.team, opts.queue, after).catch((err: unknown) => {
        // What was done so far is reported; the caller continues at `next`.
        if (examined > 0 && err instanceof StoreError) return undefined
        throw err
      })
      if (rows === undefined) break
      const changed = await cancelRows(storage, rows, result)
      const again = await cancelIds(storage, opts.team, changed)
      for (const name of Object.keys(result) as (keyof Cancelled)[]) {
        result[name].push(...again[name])
      }
      if (rows.length < pageRows) return result
      after = rows.at(-1)?.value.id
      // With the storage failing, further pages would only add to what is not settled.
      if (result.unsettled.length > 0) break
    }
    return after === undefined ? result : { ...result, next: after }
  }

  async #isTooLarge({ pool, request }: AcceptOptions): Promise<boolean> {
    const summary = pool === undefined ? undefined : await this.#summaries.get(pool)
    return summary !== undefined && exceedsAll(request, summary.largest)
  }

  /** The id of the job that holds the idempotency key, when the same was asked for. */
  async #acceptedEarlier(tx: Transaction, callOpts: CallOptions): Promise<string | undefined> {
    const write = tx.writes.find(({ table }) => table === jobKeysTable)
    const own = write?.value as JobKeyRow | undefined
    try {
      if (write === undefined || own === undefined) throw new StoreError('the job id is in use')
      const row = await this.#opts.table.read<JobKeyRow>(jobKeysTable, write.key, callOpts)
      if (row === undefined) return undefined
      if (row.value.fingerprint !== own.fingerprint) {
        throw new RequestError('idempotency-key-reused')
      }
      return row.value.id
    } catch (cause) {
      if (!(cause instanceof StoreError)) throw cause
      // An earlier attempt may have been accepted under the same key.
      throw new RequestError('store-unavailable', { outcome: 'unknown', cause })
    }
  }

  #page(team: string, queue: string, after: string | undefined) {
    const prefix = jobKey(team, keyPart(queue))
    // "/" is the character after "."; "\0" is the smallest suffix.
    const from = after === undefined ? `${prefix}.` : `${jobKey(team, after)}\0`
    return this.#opts.table.scan<Job>(jobsTable, { from, to: `${prefix}/`, limit: pageRows })
  }

  #newJob(opts: AcceptOptions): Job {
    const { team, queue, idempotent, urgent, request } = opts
    const acceptedAt = (this.#opts.wallClock ?? Date.now)()
    const time = acceptedAt.toString(36).padStart(9, '0')
    const id = `${keyPart(queue)}.${time}${randomBytes(8).toString('hex')}`
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

function fingerprint({ idempotent, urgent, request, kind, payload }: AcceptOptions): string {
  const { cpus, memoryMb, accelerators, runMs } = request
  const asked = [idempotent, urgent, cpus, memoryMb, accelerators, runMs, kind, payload]
  return createHash('sha256').update(JSON.stringify(asked)).digest('base64')
}
