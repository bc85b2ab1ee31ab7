import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import type { ConfigView } from '@bulrushbridge/config-view'
import type { Queue } from '@bulrushbridge/contract'
import { RequestError, toRequestError, type Clock } from '@bulrushbridge/errors'
import type {
  Answer,
  RequestAttempt,
  EarlierAttempt,
  IdempotencyRecords,
} from '@bulrushbridge/idempotency'
import type { Keyring, KeyOwner } from '@bulrushbridge/team-keys'
import { failSpan, formatTraceparent, type Metrics, type Tracing } from '@bulrushbridge/telemetry'
import type { UpstreamRequest } from '@bulrushbridge/upstream-link'
import { parseCallRequest, type CallLimits, type CallRequest } from './call-request.js'
import type { CallerHandler } from '@bulrushbridge/caller-server'
import { readBody } from '@bulrushbridge/caller-server'
import { captureBody, relayAnswer, replayAnswer } from './relay-answer.js'
import type { ServicePath, ServiceStart } from './service-path.js'

/** Longest wait for the answer of an earlier attempt that is still running, in milliseconds. */
const earlierWaitMs = 10_000

/** Pause between two looks at an earlier attempt; each costs the store one read. */
const earlierPauseMs = 200

/** Time that is left for the answer when the wait for an earlier attempt ends, in milliseconds. */
const answerReserveMs = 100

/** What the handling of requests needs of an entry host. */
export interface CallHandlerOptions {
  clock: Clock
  view: ConfigView
  limits: CallLimits
  records: IdempotencyRecords
  metrics: Metrics
  tracing: Tracing
  keyring(): Keyring
  service(name: string): ServicePath | undefined
  /** Whether a shutdown has got past its wait for the balancer. */
  isRefusing(): boolean
}

/** The team of a request that came without a key, on a queue that allows it. */
interface GuestOwner {
  team: string
  keyId?: undefined
  digest?: undefined
}

/** A request on its way through the handler. */
interface Call extends CallRequest {
  id: string
  owner: KeyOwner | GuestOwner
  service: ServicePath
  body: Buffer | Readable | undefined
  signal: AbortSignal
  traceparent: string
}

/**
 * Creates the handler of callers' requests: checks, queue, idempotency record, dispatch, answer.
 *
 * @example
 * const routes = { '/queues/:queue/call/**': createCallHandler(opts) }
 */
export function createCallHandler(opts: CallHandlerOptions): CallerHandler {
  return async (req, res, id) => {
    const startedAt = opts.clock.now()
    const span = opts.tracing.startServer('call', headerText(req.headers.traceparent))
    try {
      const call = await admitCall(opts, req, res, id, formatTraceparent(span))
      await serveCall(opts, call, res)
      span.end()
      opts.metrics.count('bulrush_requests_total', { queue: call.queue, outcome: 'finished' })
      opts.metrics.observe(
        'bulrush_request_seconds',
        { queue: call.queue },
        opts.clock.now() - startedAt,
      )
    } catch (cause) {
      const err = toRequestError(cause)
      failSpan(span, err.kind)
      opts.metrics.count('bulrush_errors_total', { kind: err.kind, outcome: err.outcome })
      throw err
    }
  }
}

/** Checks everything that needs no upstream, and reads the start of the body. */
async function admitCall(
  opts: CallHandlerOptions,
  req: IncomingMessage,
  res: ServerResponse,
  id: string,
  traceparent: string,
): Promise<Call> {
  const parsed = parseCallRequest(req, opts.limits, opts.clock.now())
  assertServing(opts)
  const cfg = opts.view.current()
  const queue = cfg.queues[parsed.queue]
  if (queue === undefined) throw new RequestError('unknown-queue')
  const owner = ownerOf(opts.keyring(), queue, req.headers.authorization)
  const service = opts.service(queue.service ?? '')
  if (service === undefined) throw new RequestError('unknown-queue')
  const { contentLength } = parsed
  const { clock, limits } = opts
  const body = await readBody(req, { clock, maxBytes: limits.maxBodyBytes, contentLength })
  return { ...parsed, id, owner, service, body, signal: callerSignal(res), traceparent }
}

/**
 * The team that a request is charged to: the key's team, which must be the queue's own unless the
 * queue is open; on an open queue with a guest team, that team for a request without a key.
 */
export function ownerOf(
  keyring: Keyring,
  queue: Queue,
  authorization: string | undefined,
): KeyOwner | GuestOwner {
  if (queue.team === 'open' && queue.guestTeam !== undefined && authorization === undefined) {
    return { team: queue.guestTeam }
  }
  const owner = keyring.parseAuthorization(authorization)
  if (queue.team !== 'open' && queue.team !== owner.team) throw new RequestError('key-wrong-team')
  return owner
}

/** Refuses while this entry host may not start work. */
function assertServing(opts: CallHandlerOptions): void {
  if (opts.isRefusing()) throw new RequestError('shutting-down')
  if (!opts.view.isConfirmed()) throw new RequestError('view-expired')
}

/** Aborted when the caller's connection closes before the answer is complete. */
function callerSignal(res: ServerResponse): AbortSignal {
  const controller = new AbortController()
  res.once('close', () => {
    if (!res.writableFinished) controller.abort()
  })
  return controller.signal
}

async function serveCall(opts: CallHandlerOptions, call: Call, res: ServerResponse): Promise<void> {
  const { idempotent, idempotencyKey } = call
  if (idempotent || idempotencyKey === undefined) {
    const start = await enter(call)
    const answer = await start.dispatch(upstreamRequest(call), () => {
      assertMayStart(opts, call)
    })
    await relayAnswer(res, answer, call.id)
    return
  }
  await serveOnce(opts, { ...call, idempotencyKey }, res)
}

/** Serves a non-idempotent request that carries an idempotency key. */
async function serveOnce(
  opts: CallHandlerOptions,
  call: Call & { idempotencyKey: string },
  res: ServerResponse,
): Promise<void> {
  if (call.body instanceof Readable) {
    throw new RequestError('body-too-large', {
      message: 'A request with an idempotency key may have a body of at most 64 KiB.',
    })
  }
  const { records } = opts
  const fingerprint = fingerprintOf(call, call.body)
  const attempt = {
    team: call.owner.team,
    key: call.idempotencyKey,
    fingerprint,
    requestId: call.id,
  }
  // An earlier attempt is answered before the queue: "not run" must be true of the request, and
  // a refusal by a full queue could not tell whether an earlier attempt has run.
  const earlier = await findEarlier(opts, call, attempt)
  if (earlier !== undefined) {
    replay(earlier, res, call.id)
    return
  }
  const start = await enter(call)
  const begun = await records.begin(attempt).catch((err: unknown) => {
    start.cancel()
    throw err
  })
  if (begun.state !== 'new') {
    // Another attempt began while this one was queued.
    start.cancel()
    replay((await findEarlier(opts, call, attempt)) ?? begun, res, call.id)
    return
  }
  try {
    const answer = await start.dispatch(upstreamRequest(call), () => {
      assertMayStart(opts, call)
    })
    captureBody(answer, kept => {
      begun.finish(kept)
    })
    await relayAnswer(res, answer, call.id)
  } catch (cause) {
    const err = toRequestError(cause)
    if (err.outcome === 'not-run') await begun.release()
    throw err
  }
}

/**
 * Looks for an earlier attempt. While it is running its answer is waited for, because a caller that
 * lost its connection repeats the request at once.
 */
async function findEarlier(
  { records, clock }: CallHandlerOptions,
  call: Call,
  attempt: RequestAttempt,
): Promise<EarlierAttempt | undefined> {
  const deadline = Math.min(call.deadline - answerReserveMs, clock.now() + earlierWaitMs)
  for (;;) {
    const earlier = await records.findEarlier(attempt)
    if (earlier?.state !== 'unknown') return earlier
    if (clock.now() + earlierPauseMs >= deadline || call.signal.aborted) return earlier
    await new Promise(resolve => setTimeout(resolve, earlierPauseMs))
  }
}

function replay(
  found: { state: 'finished'; answer: Answer } | { state: 'unknown' },
  res: ServerResponse,
  id: string,
): void {
  if (found.state === 'unknown') throw new RequestError('outcome-unknown', { outcome: 'unknown' })
  replayAnswer(res, found.answer, id)
}

function enter(call: Call): Promise<ServiceStart> {
  const { id, owner, deadline, signal, idempotent } = call
  const { team, keyId } = owner
  return call.service.enter({
    requestId: id,
    team,
    deadline,
    signal,
    idempotent,
    ...(keyId === undefined ? {} : { keyId }),
  })
}

/** The last check before the first byte leaves: the queue may have been entered long ago. */
function assertMayStart(opts: CallHandlerOptions, call: Call): void {
  if (!opts.view.isConfirmed()) throw new RequestError('view-expired')
  const { keyId, digest } = call.owner
  if (keyId !== undefined && !opts.keyring().isCurrent(keyId, digest)) {
    throw new RequestError('key-invalid')
  }
}

function upstreamRequest(call: Call): UpstreamRequest & { idempotent: boolean } {
  const { id, method, path, headers, body, deadline, owner, traceparent, signal, idempotent } = call
  return {
    id,
    method,
    path,
    headers,
    body,
    deadline,
    team: owner.team,
    traceparent,
    signal,
    idempotent,
  }
}

function fingerprintOf(call: CallRequest, body: Buffer | undefined): string {
  const hash = createHash('sha256').update(`${call.method} ${call.queue} ${call.path}\n`)
  return hash.update(body ?? '').digest('base64url')
}

function headerText(header: string | string[] | undefined): string | undefined {
  return typeof header === 'string' ? header : undefined
}
