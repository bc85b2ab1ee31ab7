import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import type { ConfigView } from '@bulrushbridge/config-view'
import { RequestError, toRequestError, type Clock } from '@bulrushbridge/errors'
import type { Answer, IdempotencyRecords } from '@bulrushbridge/idempotency'
import type { Keyring, KeyOwner } from '@bulrushbridge/team-keys'
import { failSpan, formatTraceparent, type Metrics, type Tracing } from '@bulrushbridge/telemetry'
import type { UpstreamRequest } from '@bulrushbridge/upstream-link'
import { parseCallRequest, type CallLimits, type CallRequest } from './call-request.js'
import type { CallerHandler } from './caller-server.js'
import { readBody } from './request-body.js'
import { captureBody, relayAnswer, replayAnswer } from './relay-answer.js'
import type { ServicePath, ServiceStart } from './service-path.js'

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

/** A request on its way through the handler. */
interface Call extends CallRequest {
  id: string
  owner: KeyOwner
  service: ServicePath
  body: Buffer | Readable | undefined
  signal: AbortSignal
  traceparent: string
}

/**
 * Creates the handler of callers' requests: checks, queue, idempotency record, dispatch, answer.
 *
 * @example
 * const server = await createCallerServer({ call: createCallHandler(opts), ... })
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
  const owner = opts.keyring().parseAuthorization(req.headers.authorization)
  if (queue.team !== 'open' && queue.team !== owner.team) throw new RequestError('key-wrong-team')
  const service = opts.service(queue.service ?? '')
  if (service === undefined) throw new RequestError('unknown-queue')
  const { contentLength } = parsed
  const { clock, limits } = opts
  const body = await readBody(req, { clock, maxBytes: limits.maxBodyBytes, contentLength })
  return { ...parsed, id, owner, service, body, signal: callerSignal(res), traceparent }
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
  const earlier = await records.find(attempt)
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
    start.cancel()
    replay(begun, res, call.id)
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

function replay(
  found: { state: 'finished'; answer: Answer } | { state: 'unknown' },
  res: ServerResponse,
  id: string,
): void {
  if (found.state === 'unknown') throw new RequestError('outcome-unknown', { outcome: 'unknown' })
  replayAnswer(res, found.answer, id)
}

function enter(call: Call): Promise<ServiceStart> {
  const { id, owner, deadline, signal } = call
  return call.service.enter({ requestId: id, ...owner, deadline, signal })
}

/** The last check before the first byte leaves: the queue may have been entered long ago. */
function assertMayStart(opts: CallHandlerOptions, call: Call): void {
  if (!opts.view.isConfirmed()) throw new RequestError('view-expired')
  const { keyId, digest } = call.owner
  if (!opts.keyring().isCurrent(keyId, digest)) throw new RequestError('key-invalid')
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
