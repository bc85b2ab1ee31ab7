import type { IncomingMessage, ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import type { ConfigView } from '@bulrushbridge/config-view'
import { RequestError, type Clock } from '@bulrushbridge/errors'
import { storedJobStates, type JobService } from '@bulrushbridge/jobs'
import { StoreError } from '@bulrushbridge/store'
import type { Keyring } from '@bulrushbridge/team-keys'
import { z } from 'zod'
import {
  sendJson,
  bufferedBodyBytes,
  parseJsonBody,
  readBody,
  type BodyShare,
  type BodyUsage,
  type CallerHandler,
} from '@bulrushbridge/caller-server'

/** Most job ids in one cancellation; each changes two rows. */
const maxCancelIds = 5_000

/** Most jobs on one page of a list. */
const maxPageSize = 500

const jobsPathPattern = /^\/queues\/([a-z][a-z0-9-]{0,62})\/jobs(?:\/([A-Za-z0-9.%_-]{1,200}))?$/
const idempotencyKeyPattern = /^[\x21-\x7e]{1,128}$/

const acceptSchema = z.strictObject({
  request: z.strictObject({
    cpus: z.number().gt(0).max(4_096),
    memoryMb: z.number().gt(0).max(16_777_216),
    accelerators: z.int().min(0).max(64),
    runMs: z.number().gt(0).max(604_800_000),
  }),
  idempotent: z.boolean(),
  urgent: z.boolean().default(false),
  kind: z
    .string()
    .regex(/^[a-z][a-z0-9-]{0,62}$/, 'use lower-case letters, digits and hyphens')
    .optional(),
  payload: z.unknown(),
})

const cancelSchema = z.union([
  // The number is checked first: each wrong id is an error that takes far longer than its bytes suggest.
  z.strictObject({
    ids: z
      .array(z.unknown())
      .max(maxCancelIds)
      .pipe(z.array(z.string().max(200))),
  }),
  z.strictObject({ all: z.literal(true), after: z.string().max(200).optional() }),
])

const listSchema = z.strictObject({
  state: z.enum(storedJobStates).optional(),
  after: z.string().max(200).optional(),
  limit: z.coerce.number().int().min(1).max(maxPageSize).default(100),
})

/** Options of {@link createJobsHandler}. */
export interface JobsHandlerOptions {
  clock: Clock
  view: ConfigView
  jobs: JobService
  /** Deadline of a request that gives none, in milliseconds from its arrival. */
  defaultDeadlineMs: number
  maxDeadlineMs: number
  /** Counts the buffered bodies of all requests. */
  bodies: BodyUsage
  keyring(): Keyring
  /**
   * Whether a shutdown has ended its wait for the balancer; new requests are refused from then on.
   */
  isRefusing(): boolean
}

/** A request about the jobs of a team in a queue. */
interface JobsRequest {
  team: string
  queue: string
  /** Pool whose workers run the jobs of the queue. */
  pool: string
  /** Part of the path after `/jobs/`: an id or `cancel`. */
  subPath: string | undefined
  deadline: number
  req: IncomingMessage
  res: ServerResponse
  requestId: string
}

/**
 * Creates the handler of `/queues/{queue}/jobs`: accepts, lists and cancels the team's jobs.
 *
 * @example
 * const routes = { '/queues/:queue/jobs/**': createJobsHandler(opts) }
 */
export function createJobsHandler(opts: JobsHandlerOptions): CallerHandler {
  return async (req, res, requestId) => {
    const call = authorize(opts, req, res, requestId)
    const share = opts.bodies.open(req.socket)
    try {
      if (req.method === 'POST' && call.subPath === undefined) await acceptJob(opts, call, share)
      else if (req.method === 'POST' && call.subPath === 'cancel')
        await cancelJobs(opts, call, share)
      else if (req.method === 'GET' && call.subPath === undefined) await listJobs(opts, call)
      else if (req.method === 'GET') await getJob(opts, call)
      else throw new RequestError('unknown-path')
    } catch (cause) {
      if (!(cause instanceof StoreError)) throw cause
      throw new RequestError('store-unavailable', {
        outcome: cause.isResultKnown ? 'not-run' : 'unknown',
        cause,
      })
    } finally {
      share.close()
    }
  }
}

/** Checks the view, the queue, the key and its team, as for calls. */
function authorize(
  opts: JobsHandlerOptions,
  req: IncomingMessage,
  res: ServerResponse,
  requestId: string,
): JobsRequest {
  const { pathname } = new URL(req.url ?? '', 'http://entry')
  const [, queue = '', subPath] = jobsPathPattern.exec(pathname) ?? []
  if (queue === '') throw new RequestError('unknown-path')
  if (opts.isRefusing()) throw new RequestError('shutting-down')
  if (!opts.view.isConfirmed()) throw new RequestError('view-expired')
  const config = opts.view.current().queues[queue]
  if (config === undefined) throw new RequestError('unknown-queue')
  const { team } = opts.keyring().parseAuthorization(req.headers.authorization)
  if (config.team !== 'open' && config.team !== team) throw new RequestError('key-wrong-team')
  if (config.pool === undefined) {
    throw new RequestError('unknown-queue', { message: 'The queue takes no jobs.' })
  }
  const deadline = opts.clock.now() + parseDeadline(opts, req.headers['bulrush-deadline'])
  return { team, queue, pool: config.pool, subPath, deadline, req, res, requestId }
}

function parseDeadline(opts: JobsHandlerOptions, header: string | string[] | undefined): number {
  if (header === undefined) return opts.defaultDeadlineMs
  const ms = typeof header === 'string' && /^\d{1,9}$/.test(header) ? Number(header) : 0
  if (ms < 1 || ms > opts.maxDeadlineMs) throw new RequestError('bad-deadline')
  return ms
}

async function acceptJob(
  opts: JobsHandlerOptions,
  call: JobsRequest,
  share: BodyShare,
): Promise<void> {
  const { team, queue, pool, deadline, req } = call
  const { kind, payload, ...submission } = await readJson(opts, req, acceptSchema, share)
  const header = req.headers['idempotency-key']
  if (header !== undefined && !idempotencyKeyPattern.test(String(header))) {
    throw new RequestError('bad-header', {
      message: 'idempotency-key must be 1 to 128 visible ASCII characters.',
    })
  }
  // Reading the body may have taken long; a key that was withdrawn meanwhile must start no new
  // work.
  authorize(opts, req, call.res, call.requestId)
  const id = await opts.jobs.accept({
    team,
    queue,
    pool,
    ...submission,
    payload: payload ?? null,
    deadline,
    ...(kind === undefined ? {} : { kind }),
    ...(header === undefined ? {} : { idempotencyKey: String(header) }),
  })
  const estimatedWaitMs = await opts.jobs.expectedWaitMs({ team, pool })
  sendAnswer(call, 202, { id, ...(estimatedWaitMs === undefined ? {} : { estimatedWaitMs }) })
}

async function cancelJobs(
  opts: JobsHandlerOptions,
  call: JobsRequest,
  share: BodyShare,
): Promise<void> {
  const { team, queue } = call
  const body = await readJson(opts, call.req, cancelSchema, share)
  if ('ids' in body) {
    // Ids start with their queue's name. A request to one queue must not cancel jobs of another.
    const ownIds = body.ids.filter(id => id.startsWith(`${queue}.`))
    const result = await opts.jobs.cancel({ team, ids: ownIds })
    result.unknown.push(...body.ids.filter(id => !id.startsWith(`${queue}.`)))
    sendAnswer(call, 200, result)
    return
  }
  const after = body.after === undefined ? {} : { after: body.after }
  sendAnswer(call, 200, await opts.jobs.cancel({ team, queue, all: true, ...after }))
}

async function listJobs(opts: JobsHandlerOptions, call: JobsRequest): Promise<void> {
  const { searchParams } = new URL(call.req.url ?? '', 'http://entry')
  const { state, after, limit } = parseWith(listSchema, Object.fromEntries(searchParams))
  const page = await opts.jobs.list({
    team: call.team,
    queue: call.queue,
    limit,
    ...(state === undefined ? {} : { state }),
    ...(after === undefined ? {} : { after }),
  })
  sendAnswer(call, 200, page)
}

async function getJob(opts: JobsHandlerOptions, call: JobsRequest): Promise<void> {
  const { team, deadline, subPath = '', queue } = call
  const id = subPath.startsWith(`${queue}.`) ? subPath : undefined
  const job = id === undefined ? undefined : await opts.jobs.get({ team, id, deadline })
  if (job === undefined) throw new RequestError('job-unknown')
  sendAnswer(call, 200, job)
}

async function readJson<T>(
  opts: JobsHandlerOptions,
  req: IncomingMessage,
  schema: z.ZodType<T>,
  share: BodyShare,
): Promise<T> {
  const length = req.headers['content-length']
  const contentLength = length === undefined ? undefined : Number(length)
  const maxBytes = bufferedBodyBytes
  if (contentLength !== undefined && contentLength > maxBytes) {
    throw new RequestError('body-too-large', { message: 'A job may have at most 64 KiB.' })
  }
  const body = await readBody(req, { clock: opts.clock, maxBytes, contentLength, share })
  if (body === undefined || body instanceof Readable) throw new RequestError('bad-request')
  let data: unknown
  try {
    data = await parseJsonBody(body)
  } catch (cause) {
    throw new RequestError('bad-request', { message: 'The body is not JSON.', cause })
  }
  return parseWith(schema, data)
}

function parseWith<T>(schema: z.ZodType<T>, data: unknown): T {
  const parsed = schema.safeParse(data)
  if (parsed.success) return parsed.data
  const [issue] = parsed.error.issues
  const path = issue?.path.join('.') ?? ''
  throw new RequestError('bad-request', {
    message: `The request is malformed${path === '' ? '' : ` at ${path}`}: ${issue?.message ?? ''}.`,
  })
}

/** Sends an answer. Its outcome is that of the HTTP request; the state of a job is in its row. */
function sendAnswer({ res, requestId }: JobsRequest, status: number, body: unknown): void {
  sendJson(res, status, body, { 'bulrush-request-id': requestId, 'bulrush-outcome': 'finished' })
}
