import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import type { ConfigView } from '@bulrushbridge/config-view'
import type { QueueDefinition } from '@bulrushbridge/contract'
import { RequestError, toRequestError, type Clock } from '@bulrushbridge/errors'
import type {
  Answer,
  RequestAttempt,
  EarlierAttempt,
  IdempotencyRecords,
} from '@bulrushbridge/idempotency'
import type { Keyring, KeyOwner } from '@bulrushbridge/team-keys'
import {
  endFailedSpan,
  formatTraceparent,
  type Metrics,
  type Tracing,
} from '@bulrushbridge/telemetry'
import type { UpstreamRequest } from '@bulrushbridge/upstream-link'
import { parseCallRequest, type CallLimits, type CallRequest } from './call-request.js'
import {
  readBody,
  type BodyShare,
  type BodyUsage,
  type CallerHandler,
} from '@bulrushbridge/caller-server'
import { captureAnswer, relayAnswer, replayAnswer } from './relay-answer.js'
import type { ServiceGateway, AdmittedCall } from './service-gateway.js'

/** Longest wait for the answer of an earlier attempt that is still running, in milliseconds. */
const maxEarlierWaitMs = 10_000

/** Interval at which the record of an earlier attempt is read from the store, in milliseconds. */
const earlierPollMs = 200

/**
 * Time before the deadline at which the wait for an earlier attempt ends, in milliseconds. It is
 * left for sending the answer.
 */
const answerReserveMs = 100

/** Options of {@link createCallHandler}. */
export interface CallHandlerOptions {
  clock: Clock
  view: ConfigView
  limits: CallLimits
  /** Counts the buffered bodies of all requests. */
  bodies: BodyUsage
  records: IdempotencyRecords
  metrics: Metrics
  tracing: Tracing
  keyring(): Keyring
  gatewayOf(name: string): ServiceGateway | undefined
  /**
   * Whether a shutdown has ended its wait for the balancer; new requests are refused from then on.
   */
  isRefusing(): boolean
}

/** The owner of a request that came without a key, on a queue that allows it. */
interface GuestOwner {
  team: string
  keyId?: undefined
  digest?: undefined
}

/** A request that has passed the checks of {@link prepareCall}. */
interface Call extends CallRequest {
  id: string
  owner: KeyOwner | GuestOwner
  gateway: ServiceGateway
  body: Buffer | Readable | undefined
  signal: AbortSignal
  traceparent: string
}

/**
 * Creates the handler of callers' requests. It checks and queues a request, writes its idempotency
 * record, sends it to a runner and passes the answer on.
 *
 * @example
 * const routes = { '/queues/:queue/call/**': createCallHandler(opts) }
 */
export function createCallHandler(opts: CallHandlerOptions): CallerHandler {
  return async (req, res, id) => {
    const startedAt = opts.clock.now()
    const share = opts.bodies.open(req.socket)
    const span = opts.tracing.startServerSpan('call', singleHeaderValue(req.headers.traceparent))
    try {
      const call = await prepareCall(opts, {
        req,
        res,
        id,
        share,
        traceparent: formatTraceparent(span),
      })
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
      endFailedSpan(span, err.kind)
      opts.metrics.count('bulrush_errors_total', { kind: err.kind, outcome: err.outcome })
      throw err
    } finally {
      share.close()
    }
  }
}

/** A request before its checks. */
interface ReceivedCall {
  req: IncomingMessage
  res: ServerResponse
  id: string
  /** Counts the bytes of its body until it has ended. */
  share: BodyShare
  traceparent: string
}

/** Runs the checks that need no upstream, then reads the start of the body. */
async function prepareCall(
  opts: CallHandlerOptions,
  { req, res, id, share, traceparent }: ReceivedCall,
): Promise<Call> {
  const parsed = parseCallRequest(req, opts.limits, opts.clock.now())
  assertServing(opts)
  const cfg = opts.view.current()
  const queue = cfg.queues[parsed.queue]
  if (queue === undefined) throw new RequestError('unknown-queue')
  const owner = ownerOf(opts.keyring(), queue, req.headers.authorization)
  const gateway = opts.gatewayOf(queue.service ?? '')
  if (gateway === undefined) throw new RequestError('unknown-queue')
  const { contentLength } = parsed
  const { clock, limits } = opts
  const body = await readBody(req, { clock, maxBytes: limits.maxBodyBytes, contentLength, share })
  return { ...parsed, id, owner, gateway, body, signal: callerSignal(res), traceparent }
}

/**
 * Returns the team that a request is charged to. That is the key's team, which must be the queue's
 * team unless the queue is open. On an open queue with a guest team, a request without a key is
 * charged to the guest team.
 */
export function ownerOf(
  keyring: Keyring,
  queue: QueueDefinition,
  authorization: string | undefined,
): KeyOwner | GuestOwner {
  if (queue.team === 'open' && queue.guestTeam !== undefined && authorization === undefined) {
    return { team: queue.guestTeam }
  }
  const owner = keyring.parseAuthorization(authorization)
  if (queue.team !== 'open' && queue.team !== owner.team) throw new RequestError('key-wrong-team')
  return owner
}

/** Throws while this entry host may not start work. */
function assertServing(opts: CallHandlerOptions): void {
  if (opts.isRefusing()) throw new RequestError('shutting-down')
  if (!opts.view.isConfirmed()) throw new RequestError('view-expired')
}

/**
 * Returns a signal that is aborted when the caller's connection closes before the answer is
 * complete.
 */
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
    const admitted = await enterQueue(call)
    const answer = await admitted.dispatch(upstreamRequest(call), () => {
      assertMayStart(opts, call)
    })
    await relayAnswer(res, answer, call.id)
    return
  }
  await serveAtMostOnce(opts, { ...call, idempotencyKey }, res)
}

/** Serves a non-idempotent request that carries an idempotency key. */
async function serveAtMostOnce(
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
  // Look for an earlier attempt before queueing. A full queue refuses with the outcome "not-run",
  // which would be wrong if an earlier attempt of the request has run.
  const earlier = await awaitEarlierAttempt(opts, call, attempt)
  if (earlier !== undefined) {
    replayEarlier(earlier, res, call.id)
    return
  }
  const admitted = await enterQueue(call)
  const begun = await records.begin(attempt).catch((err: unknown) => {
    admitted.cancel()
    throw err
  })
  if (begun.state !== 'new') {
    // Another attempt began while this one was queued.
    admitted.cancel()
    replayEarlier((await awaitEarlierAttempt(opts, call, attempt)) ?? begun, res, call.id)
    return
  }
  try {
    const answer = await admitted.dispatch(upstreamRequest(call), () => {
      assertMayStart(opts, call)
    })
    captureAnswer(answer, captured => {
      begun.finish(captured)
    })
    await relayAnswer(res, answer, call.id)
  } catch (cause) {
    const err = toRequestError(cause)
    if (err.outcome === 'not-run') await begun.release()
    throw err
  }
}

/**
 * Looks for an earlier attempt and, while that is running, waits for its answer: a caller that lost
 * its connection repeats the request at once.
 */
async function awaitEarlierAttempt(
  { records, clock }: CallHandlerOptions,
  call: Call,
  attempt: RequestAttempt,
): Promise<EarlierAttempt | undefined> {
  const deadline = Math.min(call.deadline - answerReserveMs, clock.now() + maxEarlierWaitMs)
  for (;;) {
    const earlier = await records.findEarlier(attempt)
    if (earlier?.state !== 'unknown') return earlier
    if (clock.now() + earlierPollMs >= deadline || call.signal.aborted) return earlier
    await new Promise(resolve => setTimeout(resolve, earlierPollMs))
  }
}

function replayEarlier(
  found: { state: 'finished'; answer: Answer } | { state: 'unknown' },
  res: ServerResponse,
  id: string,
): void {
  if (found.state === 'unknown') throw new RequestError('outcome-unknown', { outcome: 'unknown' })
  replayAnswer(res, found.answer, id)
}

function enterQueue(call: Call): Promise<AdmittedCall> {
  const { id, owner, deadline, signal, idempotent } = call
  const { team, keyId } = owner
  return call.gateway.enter({
    requestId: id,
    team,
    deadline,
    signal,
    idempotent,
    ...(keyId === undefined ? {} : { keyId }),
  })
}

/**
 * Checks again, right before the first byte is sent, that the request may start: it may have waited
 * in the queue for long.
 */
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

function singleHeaderValue(header: string | string[] | undefined): string | undefined {
  return typeof header === 'string' ? header : undefined
}
