import type { IncomingMessage, ServerResponse } from 'node:http'
import { answerJson, readBody, type CallerHandler } from '@bulrushbridge/caller-server'
import { RequestError, systemClock } from '@bulrushbridge/errors'
import {
  cancelSuffix,
  findQueue,
  isFinal,
  jobsTable,
  partOf,
  parts,
  progressSchema,
  progressTable,
  waitingTable,
  type Configuration,
  type JobRequest,
  type JobStatus,
  type OperatorView,
  type Progress,
  type Queue,
} from '@bulrushbridge/scheduler'
import { StoreError, type TableService } from '@bulrushbridge/store'
import type { Logger, Metrics } from '@bulrushbridge/telemetry'
import { retryAfterMs, type Acceptor } from './acceptor.js'

/** Time that a caller waits when it does not say, in milliseconds. */
const defaultDeadlineMs = 3_000

/** Time kept for the answer to reach the caller, in milliseconds. */
const answerMarginMs = 150

/** Time for one read of the store, in milliseconds. */
const readTimeoutMs = 1_200

/** Time for storing a cancellation before it is tried again, in milliseconds. */
const cancelAttemptMs = 900

/** How requests of callers are read and answered. */
export interface CallerCodec {
  /** Name of the header with the caller's time, in milliseconds. */
  deadlineHeader: string
  isJobId(text: string): boolean
  decodeKey(authorization: string | undefined): string | undefined
  decodeJob(value: unknown): JobRequest | undefined
  encodeStatus(status: JobStatus): unknown
  encodeWaiting(count: number): unknown
}

/** Options of {@link createJobHandler}. */
export interface JobHandlerOptions {
  view: OperatorView
  store: TableService
  acceptor: Acceptor
  codec: CallerCodec
  /** Reads the configuration again, before a refusal that a newer version may make wrong. */
  confirmView: () => Promise<void>
  log: Logger
  metrics: Metrics
}

interface JobCall {
  req: IncomingMessage
  res: ServerResponse
  requestId: string
  cfg: Configuration
  queue: Queue
  organisation: string | undefined
  /** Rest of the path after the queue's prefix. */
  rest: string
  deadline: number
}

/**
 * Creates the handler of all requests of callers: a POST submits a job, a GET asks for its state, a
 * DELETE cancels it; a GET of the queue itself counts the jobs that have not begun.
 *
 * @example
 * const routes = { '/**': createJobHandler({ view, store, acceptor, codec, confirmView, log, metrics }) }
 */
export function createJobHandler(opts: JobHandlerOptions): CallerHandler {
  const handler = new JobHandler(opts)
  return (req, res, requestId) => handler.handle(req, res, requestId)
}

class JobHandler {
  readonly #opts: JobHandlerOptions
  readonly #methods: Record<string, ((call: JobCall) => Promise<void>) | undefined>

  constructor(opts: JobHandlerOptions) {
    this.#opts = opts
    this.#methods = {
      POST: call => this.#submit(call),
      GET: call => (call.rest === '' ? this.#countWaiting(call) : this.#tellStatus(call)),
      DELETE: call => this.#cancel(call),
    }
  }

  async handle(req: IncomingMessage, res: ServerResponse, requestId: string): Promise<void> {
    const startedAt = performance.now()
    const call = await this.#admit(req, res, requestId, startedAt)
    const method = this.#methods[req.method ?? '']
    if (method === undefined) throw new RequestError('unknown-path')
    if (call.rest !== '' && !this.#opts.codec.isJobId(call.rest)) {
      throw new RequestError('unknown-path')
    }
    await method(call)
    const labels = { method: req.method ?? '', queue: call.queue.name }
    this.#opts.metrics.observe('bulrush_request_ms', labels, performance.now() - startedAt)
  }

  /** Finds the queue and the organisation; a refusal is given on a view that was just confirmed. */
  async #admit(
    req: IncomingMessage,
    res: ServerResponse,
    requestId: string,
    startedAt: number,
  ): Promise<JobCall> {
    const found = this.#tryAdmit(req)
    if (found instanceof RequestError) await this.#opts.confirmView()
    const admitted = found instanceof RequestError ? this.#tryAdmit(req) : found
    if (admitted instanceof RequestError) throw admitted
    const waitMs = Number(req.headers[this.#opts.codec.deadlineHeader] ?? defaultDeadlineMs)
    const deadline = startedAt + (waitMs > 0 ? waitMs : defaultDeadlineMs) - answerMarginMs
    return { req, res, requestId, deadline, ...admitted }
  }

  #tryAdmit(
    req: IncomingMessage,
  ): Pick<JobCall, 'cfg' | 'queue' | 'organisation' | 'rest'> | RequestError {
    const { view, codec } = this.#opts
    const cfg = view.configuration()
    if (cfg === undefined) return new RequestError('view-expired', { retryAfterMs })
    const [path = ''] = (req.url ?? '').split('?')
    const [hostName = ''] = (req.headers.host ?? '').split(':')
    const queue = findQueue(cfg, hostName, path)
    if (queue === undefined) return new RequestError('unknown-queue')
    const key = codec.decodeKey(req.headers.authorization)
    const organisation = key === undefined ? undefined : view.organisationOf(key)
    if (!queue.isOpen && organisation === undefined) {
      return new RequestError(key === undefined ? 'key-missing' : 'key-invalid')
    }
    return { cfg, queue, organisation, rest: path.slice(queue.pathPrefix.length) }
  }

  async #submit(call: JobCall): Promise<void> {
    const { req, res, cfg, queue, organisation, rest: id, deadline, requestId } = call
    const { acceptor, codec, log, metrics } = this.#opts
    const receivedAt = Date.now()
    const request = codec.decodeJob(await readJson(req, cfg.maxBodyBytes))
    if (request === undefined || id === '') throw new RequestError('bad-request')
    const job = {
      id,
      queue: queue.name,
      ...(organisation === undefined ? {} : { organisation }),
      ...request,
      acceptedAt: receivedAt,
    }
    const outcome = await acceptor.accept(job, deadline)
    answerJson(res, 200, {})
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

  async #tellStatus(call: JobCall): Promise<void> {
    const progress = await this.#readProgress(call)
    if (progress === undefined) throw new RequestError('job-absent')
    answerJson(call.res, 200, this.#opts.codec.encodeStatus(progress.status))
  }

  async #cancel(call: JobCall): Promise<void> {
    const { rest: id, requestId, queue, deadline } = call
    const progress = await this.#readProgress(call)
    if (progress === undefined) throw new RequestError('job-absent')
    if (!isFinal(progress.status)) await this.#storeCancellation(id, deadline)
    answerJson(call.res, 200, {})
    const { status } = progress
    this.#opts.log.info('cancellation accepted', { job: id, queue: queue.name, requestId, status })
  }

  /** Writes the cancellation; writing it twice changes nothing. */
  async #storeCancellation(id: string, deadline: number): Promise<void> {
    const part = partOf(id)
    const write = { table: jobsTable, part, key: `${id}${cancelSuffix}`, value: 1 }
    for (;;) {
      try {
        const attempt = Math.min(deadline, performance.now() + cancelAttemptMs)
        await this.#opts.store.commit({ checks: [], writes: [write] }, { part, deadline: attempt })
        return
      } catch (cause) {
        if (performance.now() < deadline - cancelAttemptMs) continue
        const isUnknown = cause instanceof StoreError && !cause.settled
        throw new RequestError(isUnknown ? 'acceptance-unknown' : 'store-unavailable', {
          retryAfterMs,
          outcome: isUnknown ? 'unknown' : 'not-run',
          cause,
        })
      }
    }
  }

  async #countWaiting(call: JobCall): Promise<void> {
    const { name } = call.queue
    const deadline = performance.now() + readTimeoutMs
    // "0" is the character after "/".
    const range = { from: `${name}/`, to: `${name}0`, deadline }
    const rows = await this.#read(() =>
      Promise.all(parts.map(part => this.#opts.store.scan(waitingTable, { ...range, part }))),
    )
    const count = rows.reduce((sum, part) => sum + part.length, 0)
    answerJson(call.res, 200, this.#opts.codec.encodeWaiting(count))
  }

  /** Progress of the job; undefined when the queue has no such job of the caller's organisation. */
  async #readProgress({ rest: id, queue, organisation }: JobCall): Promise<Progress | undefined> {
    const opts = { part: partOf(id), deadline: performance.now() + readTimeoutMs }
    const row = await this.#read(() => this.#opts.store.read(progressTable, id, opts))
    const parsed = progressSchema.safeParse(row?.value)
    if (!parsed.success) return undefined
    const isOwn = queue.isOpen || parsed.data.organisation === organisation
    return parsed.data.queue === queue.name && isOwn ? parsed.data : undefined
  }

  async #read<T>(read: () => Promise<T>): Promise<T> {
    try {
      return await read()
    } catch (cause) {
      if (!(cause instanceof StoreError)) throw cause
      throw new RequestError('store-unavailable', { retryAfterMs, cause })
    }
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
    return JSON.parse(Buffer.concat(chunks).toString('utf8'))
  } catch (cause) {
    throw new RequestError('bad-request', { cause })
  }
}
