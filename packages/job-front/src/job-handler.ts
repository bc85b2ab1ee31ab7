import type { IncomingMessage, ServerResponse } from 'node:http'
import {
  connectionSignal,
  createBodyUsage,
  sendJson,
  parseJsonBody,
  readBody,
  type CallerHandler,
} from '@bulrushbridge/caller-server'
import { RequestError, systemClock, type Outcome } from '@bulrushbridge/errors'
import {
  cancelSuffix,
  findQueue,
  hasEnded,
  acceptedJobsTable,
  noQueue,
  partOf,
  partNames,
  progressSchema,
  progressTable,
  queuedJobPrefix,
  queuedJobsTable,
  JobLimitError,
  type SchedulerConfiguration,
  type JobDefinition,
  type JobSubmission,
  type JobStatus,
  type OperatorView,
  type Progress,
  type JobQueue,
} from '@bulrushbridge/scheduler'
import { StoreError, type TableService, type Transaction } from '@bulrushbridge/store'
import type { Logger, Metrics } from '@bulrushbridge/telemetry'
import type { Admission } from './admission.js'
import type { JobAcceptor } from './job-acceptor.js'
import { createSharedReads } from './shared-reads.js'
import { createStoreReadGate } from './store-read-gate.js'
import { createUnsettledAcceptances } from './unsettled-acceptances.js'
import { retryAfterMs, retryWrite } from './write-retries.js'

/**
 * Time for which a caller is assumed to wait when its request sets no deadline, in milliseconds.
 */
const defaultDeadlineMs = 3_000

/** Time reserved for the response to reach the caller, in milliseconds. */
const responseMarginMs = 150

/** Time for one read of the store, in milliseconds. */
const readTimeoutMs = 1_200

/**
 * Most bytes of the bodies of submissions that are handled at once. A body takes several times its size
 * in memory until its job is stored, and callers go on sending while the store does not answer.
 */
const maxSubmittingBytes = 12_000_000

/** Most of these bytes from one client address; one job of most sizes is left to the others. */
const maxAddressSubmittingBytes = 11_000_000

/** Most of these bytes on one connection, which is enough for three jobs of the largest size. */
const maxConnectionSubmittingBytes = 3_000_000

/** Most reads of the store for requests at once; the store's client has 12 connections. */
const maxRunningReads = 64

/** Most requests that wait for a read of the store; as many as a process has by default. */
const maxWaitingReads = 2_048

/** Most bytes of a body; larger jobs could not be stored, whatever the configuration allows. */
const maxStorableBodyBytes = 1_000_000

/** Decodes the requests of callers and encodes the responses to them. */
export interface CallerCodec {
  /** Request header with the time for which the caller waits, in milliseconds. */
  deadlineHeader: string
  isJobId(text: string): boolean
  decodeKey(authorization: string | undefined): string | undefined
  /** Undefined when the job is malformed; throws a JobLimitError when it is too large. */
  decodeJob(value: unknown): JobSubmission | undefined
  encodeStatus(status: JobStatus): unknown
  encodeWaitingCount(count: number): unknown
}

/** Options of {@link createJobHandler}. */
export interface JobHandlerOptions {
  view: OperatorView
  store: TableService
  acceptor: JobAcceptor
  /** Decides which submissions are rejected early; without it none is. */
  admission?: Admission
  codec: CallerCodec
  /**
   * Brings the view up to date before a request is refused, as a newer configuration may allow it.
   */
  refreshView: () => Promise<void>
  log: Logger
  metrics: Metrics
}

interface RequestContext {
  req: IncomingMessage
  res: ServerResponse
  requestId: string
  cfg: SchedulerConfiguration
  queue: JobQueue
  organisation: string | undefined
  /** Path after the queue's prefix: the id of a job, or empty for the queue itself. */
  subpath: string
  deadline: number
}

/**
 * Creates the handler of all requests of callers. On the path of a job, POST submits it, GET
 * returns its state and DELETE cancels it. On the path of a queue, GET returns the number of jobs
 * that have not started.
 *
 * @example
 * const routes = { '/**': createJobHandler({ view, store, acceptor, codec, refreshView, log, metrics }) }
 */
export function createJobHandler(opts: JobHandlerOptions): CallerHandler {
  const handler = new JobHandler(opts)
  return (req, res, requestId) => handler.handle(req, res, requestId)
}

class JobHandler {
  readonly #opts: JobHandlerOptions
  readonly #handlersByMethod: Record<string, ((ctx: RequestContext) => Promise<void>) | undefined>
  /** Settles when the refresh of the view that is in progress is over. */
  #refreshing: Promise<void> | undefined
  readonly #unsettled = createUnsettledAcceptances()
  readonly #bodies = createBodyUsage({
    maxBytes: maxSubmittingBytes,
    maxAddressBytes: maxAddressSubmittingBytes,
    maxConnectionBytes: maxConnectionSubmittingBytes,
  })
  readonly #readGate = createStoreReadGate({
    maxRunning: maxRunningReads,
    maxWaiting: maxWaitingReads,
  })
  /** Counts of the jobs that wait, by queue; each reads a row for every such job. */
  readonly #waitingCounts = createSharedReads<number>()

  constructor(opts: JobHandlerOptions) {
    this.#opts = opts
    this.#handlersByMethod = {
      POST: ctx => this.#submit(ctx),
      GET: ctx => (ctx.subpath === '' ? this.#sendWaitingCount(ctx) : this.#sendStatus(ctx)),
      DELETE: ctx => this.#cancel(ctx),
    }
  }

  async handle(req: IncomingMessage, res: ServerResponse, requestId: string): Promise<void> {
    const startedAt = performance.now()
    const ctx = await this.#authorize(req, res, requestId, startedAt)
    const handler = this.#handlersByMethod[req.method ?? '']
    if (handler === undefined) throw new RequestError('unknown-path')
    if (ctx.subpath !== '' && !this.#opts.codec.isJobId(ctx.subpath)) {
      throw new RequestError('unknown-path')
    }
    // A body that the method does not need is discarded, not kept until the response.
    if (req.method !== 'POST') req.resume()
    await handler(ctx)
    const labels = { method: req.method ?? '', queue: ctx.queue.name }
    this.#opts.metrics.observe('bulrush_request_ms', labels, performance.now() - startedAt)
  }

  /**
   * Finds the queue and the caller's organisation. When the request would be refused, the view is
   * brought up to date and the request is checked a second time. A request that arrives meanwhile
   * waits: answered by the old view, it could follow one that a newer configuration has answered.
   */
  async #authorize(
    req: IncomingMessage,
    res: ServerResponse,
    requestId: string,
    startedAt: number,
  ): Promise<RequestContext> {
    await this.#refreshing
    const firstResult = this.#tryAuthorize(req)
    if (firstResult instanceof RequestError) await this.#refreshView()
    const result = firstResult instanceof RequestError ? this.#tryAuthorize(req) : firstResult
    if (result instanceof RequestError) throw result
    const callerWaitMs = Number(req.headers[this.#opts.codec.deadlineHeader] ?? defaultDeadlineMs)
    const deadline =
      startedAt + (callerWaitMs > 0 ? callerWaitMs : defaultDeadlineMs) - responseMarginMs
    return { req, res, requestId, deadline, ...result }
  }

  async #refreshView(): Promise<void> {
    this.#refreshing ??= this.#opts.refreshView().finally(() => {
      this.#refreshing = undefined
    })
    await this.#refreshing
  }

  #tryAuthorize(
    req: IncomingMessage,
  ): Pick<RequestContext, 'cfg' | 'queue' | 'organisation' | 'subpath'> | RequestError {
    const { view, codec } = this.#opts
    const cfg = view.configuration()
    if (cfg === undefined) return new RequestError('view-expired', { retryAfterMs })
    const [path = ''] = (req.url ?? '').split('?')
    const [hostName = ''] = (req.headers.host ?? '').split(':')
    const queue = findQueue(cfg, hostName, path)
    if (queue === undefined) return new RequestError('unknown-queue')
    const key = codec.decodeKey(req.headers.authorization)
    const organisation = key === undefined ? undefined : view.organisationOf(key)
    if (!queue.isAnonymousAllowed && organisation === undefined) {
      return new RequestError(key === undefined ? 'key-missing' : 'key-invalid')
    }
    return { cfg, queue, organisation, subpath: path.slice(queue.pathPrefix.length) }
  }

  async #submit(ctx: RequestContext): Promise<void> {
    const maxBytes = Math.min(ctx.cfg.maxBodyBytes, maxStorableBodyBytes)
    const length = Number(ctx.req.headers['content-length'])
    // Without a length the body may be as large as it may be at all.
    const bytes = length <= maxBytes ? length : maxBytes
    const share = this.#bodies.open(ctx.req.socket)
    try {
      // Counted before the body arrives, as it takes several times its size until its job is stored.
      if (share.tryAdd(bytes) !== undefined)
        throw new RequestError('submissions-full', { retryAfterMs })
      await this.#accept(ctx)
    } finally {
      share.close()
    }
  }

  async #accept(ctx: RequestContext): Promise<void> {
    const { req, res, cfg, queue, organisation, subpath: id, deadline, requestId } = ctx
    const { codec, log, metrics } = this.#opts
    const receivedAt = Date.now()
    const jobRequest = decode(
      codec,
      await readJson(req, Math.min(cfg.maxBodyBytes, maxStorableBodyBytes)),
    )
    if (jobRequest === undefined || id === '') throw new RequestError('bad-request')
    await this.#rejectIfTooLate(ctx, jobRequest)
    const job = {
      id,
      queue: queue.name,
      ...(organisation === undefined ? {} : { organisation }),
      ...jobRequest,
      acceptedAt: receivedAt,
    }
    const outcome = await this.#store(job, deadline)
    sendJson(res, 200, {})
    const storedMs = Date.now() - receivedAt
    const configuration = cfg.version
    log.info('job accepted', {
      job: id,
      queue: queue.name,
      requestId,
      outcome,
      storedMs,
      configuration,
    })
    metrics.count('bulrush_jobs_accepted_total', { queue: queue.name, outcome })
  }

  async #store(job: JobDefinition, deadline: number): Promise<'accepted' | 'known'> {
    const end = this.#unsettled.begin(job.id)
    let isResultKnown = false
    try {
      const outcome = await this.#opts.acceptor.accept(job, deadline)
      isResultKnown = true
      return outcome
    } catch (err) {
      isResultKnown = err instanceof RequestError && err.outcome === 'not-run'
      throw err
    } finally {
      end(isResultKnown, performance.now())
    }
  }

  /**
   * Rejects a job that cannot be done in time, unless it may have been accepted before: a job that is stored,
   * or may still be stored, runs. Writes nothing.
   */
  async #rejectIfTooLate(ctx: RequestContext, job: JobSubmission): Promise<void> {
    const { admission } = this.#opts
    const rejection = admission?.check({ ...ctx, id: ctx.subpath, job })
    if (admission === undefined || rejection === undefined) return
    if (await this.#mayBeAccepted(ctx)) return
    const retryMs = admission.reject(rejection)
    throw new RequestError('job-not-in-time', { outcome: 'not-run', retryAfterMs: retryMs })
  }

  /** Whether a job with the same id is stored or may be; also if the store cannot be read. */
  async #mayBeAccepted({ subpath: id, deadline }: RequestContext): Promise<boolean> {
    if (this.#unsettled.has(id, performance.now())) return true
    const readDeadline = Math.min(deadline, performance.now() + readTimeoutMs)
    try {
      const opts = { part: partOf(id), deadline: readDeadline }
      if ((await this.#opts.store.read(progressTable, id, opts)) !== undefined) return true
    } catch (cause) {
      if (!(cause instanceof StoreError)) throw cause
      this.#opts.metrics.count('bulrush_admissions_total', { reason: 'store-unreadable' })
      return true
    }
    // Another submission of the job may have arrived during the read.
    return this.#unsettled.has(id, performance.now())
  }

  async #sendStatus(ctx: RequestContext): Promise<void> {
    const progress = await this.#readProgress(ctx)
    if (progress === undefined) throw new RequestError('job-absent')
    sendJson(ctx.res, 200, this.#opts.codec.encodeStatus(progress.status))
  }

  async #cancel(ctx: RequestContext): Promise<void> {
    const { subpath: id, requestId, queue, deadline } = ctx
    let progress = await this.#readProgress(ctx)
    if (progress === undefined) {
      await this.#preventAcceptance(id, deadline)
      // The job may have been stored since it was read as absent.
      progress = await this.#readProgress(ctx, 'unknown')
    }
    if (progress === undefined) throw new RequestError('job-absent')
    if (!hasEnded(progress.status)) await this.#storeCancellation(id, deadline)
    sendJson(ctx.res, 200, {})
    const { status } = progress
    this.#opts.log.info('cancellation accepted', { job: id, queue: queue.name, requestId, status })
  }

  /**
   * Keeps a job without progress from being stored later: the transaction that stores it may be under
   * way or repeated. The row that is written belongs to no queue.
   */
  async #preventAcceptance(id: string, deadline: number): Promise<void> {
    const row = { table: progressTable, part: partOf(id), key: id }
    const value: Progress = { status: 'cancelled', queue: noQueue, endedAt: Date.now() }
    const tx = { checks: [{ ...row, version: 0 }], writes: [{ ...row, value }] }
    await this.#commitWithRetries(tx, row.part, deadline)
  }

  /** Stores the cancellation; storing it twice has no further effect. */
  async #storeCancellation(id: string, deadline: number): Promise<void> {
    const part = partOf(id)
    const write = { table: acceptedJobsTable, part, key: `${id}${cancelSuffix}`, value: 1 }
    await this.#commitWithRetries({ checks: [], writes: [write] }, part, deadline)
  }

  /** Commits a transaction that may be repeated; a failed check counts as success. */
  async #commitWithRetries(tx: Transaction, part: string, deadline: number): Promise<void> {
    await retryWrite(deadline, attemptDeadline =>
      this.#opts.store.commit(tx, { part, deadline: attemptDeadline }),
    )
  }

  async #sendWaitingCount(ctx: RequestContext): Promise<void> {
    const { name } = ctx.queue
    const count = await this.#waitingCounts.read(name, () =>
      this.#readStore(undefined, () => this.#countWaiting(name)),
    )
    sendJson(ctx.res, 200, this.#opts.codec.encodeWaitingCount(count))
  }

  async #countWaiting(queue: string): Promise<number> {
    const deadline = performance.now() + readTimeoutMs
    const from = queuedJobPrefix(queue)
    // The range covers all keys with the prefix, because "0" is the character after its "/".
    const range = { from, to: `${from.slice(0, -1)}0`, deadline }
    const counts = await Promise.all(
      partNames.map(async part => {
        const rows = await this.#opts.store.scan(queuedJobsTable, { ...range, part })
        return rows.length
      }),
    )
    return counts.reduce((sum, count) => sum + count, 0)
  }

  /**
   * Reads a job's progress; undefined when the caller's organisation has no such job in the queue.
   * `outcome` is that of the request if the read fails.
   */
  async #readProgress(
    { req, subpath: id, queue, organisation }: RequestContext,
    outcome?: Outcome,
  ): Promise<Progress | undefined> {
    // A cancellation is carried out although its caller has left.
    const signal = req.method === 'GET' ? connectionSignal(req.socket) : undefined
    const deadline = performance.now() + readTimeoutMs
    const opts = { part: partOf(id), deadline, ...(signal === undefined ? {} : { signal }) }
    const read = () => this.#opts.store.read(progressTable, id, opts)
    const row = await this.#readStore(signal, read, outcome)
    const parsed = progressSchema.safeParse(row?.value)
    if (!parsed.success) return undefined
    const isOwn = queue.isAnonymousAllowed || parsed.data.organisation === organisation
    return parsed.data.queue === queue.name && isOwn ? parsed.data : undefined
  }

  async #readStore<T>(
    signal: AbortSignal | undefined,
    read: () => Promise<T>,
    outcome: Outcome = 'not-run',
  ): Promise<T> {
    try {
      return await this.#readGate.run(signal, read)
    } catch (cause) {
      if (!(cause instanceof StoreError)) throw cause
      throw new RequestError('store-unavailable', { retryAfterMs, outcome, cause })
    }
  }
}

function decode(codec: CallerCodec, value: unknown): JobSubmission | undefined {
  try {
    return codec.decodeJob(value)
  } catch (cause) {
    if (!(cause instanceof JobLimitError)) throw cause
    throw new RequestError('job-limit-exceeded', { message: cause.message, cause })
  }
}

async function readJson(req: IncomingMessage, maxBytes: number): Promise<unknown> {
  const length = req.headers['content-length']
  const contentLength = length === undefined ? undefined : Number(length)
  const body = await readBody(req, { clock: systemClock, maxBytes, contentLength })
  const chunks: Buffer[] = []
  if (Buffer.isBuffer(body)) chunks.push(body)
  else if (body !== undefined) for await (const chunk of body) chunks.push(chunk as Buffer)
  try {
    return await parseJsonBody(Buffer.concat(chunks))
  } catch (cause) {
    throw new RequestError('bad-request', { cause })
  }
}
