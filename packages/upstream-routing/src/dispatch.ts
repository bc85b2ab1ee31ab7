import { RequestError, toRequestError } from '@bulrushbridge/errors'
import type { UpstreamResponse, UpstreamRequest } from '@bulrushbridge/upstream-link'
import { Readable } from 'node:stream'
import type { AttemptTrace, DispatchOptions } from './dispatch-options.js'
import { Failover } from './failover.js'
import { bufferBody } from './request-body.js'
import { RequestRuns } from './request-runs.js'
import type { Reservation } from './types.js'

/** The promises of a dispatched request. */
export interface DispatchResult {
  /** The response; rejects with a {@link RequestError}. */
  response: Promise<UpstreamResponse>
  /** Resolves when no work of the request can be running at any runner any more; never rejects. */
  settled: Promise<void>
}

/**
 * Sends a request to a runner and retries it at others. A request that is not idempotent is retried
 * only when it has not run.
 *
 * @example
 * const { response, settled } = dispatch({ router, req, idempotent, retryBudget, clock })
 * void settled.then(() => permit.release())
 */
export function dispatch(opts: DispatchOptions): DispatchResult {
  opts.retryBudget.countRequest()
  const reservation = opts.reservation ?? opts.router.reserve({ idempotent: opts.idempotent })
  if (!reservation) {
    return { response: Promise.reject(new RequestError('no-upstream')), settled: Promise.resolve() }
  }
  const runs = new RequestRuns()
  return { response: runWithRetries(opts, reservation, runs), settled: runs.settled }
}

async function runWithRetries(
  opts: DispatchOptions,
  first: Reservation,
  runs: RequestRuns,
): Promise<UpstreamResponse> {
  const tried = new Set<string>()
  let mayHaveRun = false
  let reservation = first
  let req = opts.req
  for (;;) {
    const currentReservation = reservation
    tried.add(currentReservation.runner.id)
    const startedAt = opts.clock.now()
    const failover = new Failover(opts, currentReservation, tried, runs)
    try {
      if (req.body instanceof Readable) {
        const timeoutMs = req.deadline - opts.clock.now()
        req = { ...req, body: await bufferBody(req.body, { timeoutMs, signal: req.signal }) }
      }
      return await sendAttempt(opts, req, currentReservation, runs, failover)
    } catch (thrown) {
      const err = toRequestError(thrown)
      const next = failover.nextReservation
        ? completeFailover(
            req,
            err,
            currentReservation,
            failover.nextReservation,
            runs,
            opts.clock.now() - startedAt,
          )
        : await reserveRetry(
            opts,
            req,
            err,
            currentReservation,
            tried,
            runs,
            opts.clock.now() - startedAt,
          )
      if (!next) throw mayHaveRun ? withUnknownOutcome(err) : err
      mayHaveRun ||= err.outcome !== 'not-run'
      reservation = next
    } finally {
      failover.stop()
    }
  }
}

/**
 * Replaces the outcome `not-run` of the last attempt by `unknown`; an earlier attempt may have run.
 */
function withUnknownOutcome(cause: RequestError): RequestError {
  if (cause.outcome !== 'not-run') return cause
  const { kind, message, retryAfterMs } = cause
  const hint = retryAfterMs === undefined ? {} : { retryAfterMs }
  return new RequestError(kind, { outcome: 'unknown', message, cause, ...hint })
}

/**
 * Reports the aborted run and returns the slot of the second one; undefined when the caller has
 * left.
 */
function completeFailover(
  req: UpstreamRequest,
  err: RequestError,
  failed: Reservation,
  next: Reservation,
  runs: RequestRuns,
  durationMs: number,
): Reservation | undefined {
  failed.report('late', durationMs)
  if (err.outcome === 'not-run') failed.release()
  else runs.releaseWhenSettled(failed, failed.client.settled(req.id))
  if (req.signal?.aborted !== true) return next
  next.release()
  runs.finish()
  return undefined
}

async function sendAttempt(
  opts: DispatchOptions,
  req: UpstreamRequest,
  reservation: Reservation,
  runs: RequestRuns,
  failover: Failover,
): Promise<UpstreamResponse> {
  const { beforeWrite, clock } = opts
  const startedAt = clock.now()
  const trace = opts.startAttemptTrace?.(reservation.runner.id)
  const tracedReq = trace ? { ...req, traceparent: trace.traceparent } : req
  const pendingResponse = reservation.client.send(tracedReq, {
    beforeWrite,
    onStart: abortRequest => {
      failover.watch(req, abortRequest)
    },
  })
  if (trace) endTraceWith(trace, pendingResponse)
  const response = await pendingResponse
  if (failover.nextReservation) {
    // The response started in the same turn as the failover, which has already aborted the request.
    response.body.destroy()
    throw new RequestError('caller-left', { outcome: 'unknown' })
  }
  failover.stop()
  reservation.responseStarted()
  const latencyMs = clock.now() - startedAt
  const isInTime = clock.now() <= req.deadline
  const release = (): void => {
    reservation.release()
    runs.finish()
  }
  const onEnd = (): void => {
    reservation.report(response.status >= 500 ? 'failed' : isInTime ? 'ok' : 'late', latencyMs)
    release()
  }
  response.ended.then(onEnd, (err: unknown) => {
    const isCut = err instanceof RequestError && err.kind === 'answer-cut'
    reservation.report(isCut ? 'failed' : 'neutral', latencyMs)
    void reservation.client.settled(req.id).then(release)
  })
  return response
}

/** Ends the trace of an attempt when its response is complete or it has failed. */
function endTraceWith(trace: AttemptTrace, pendingResponse: Promise<UpstreamResponse>): void {
  const onError = (err: unknown): void => {
    trace.end(toRequestError(err).kind)
  }
  pendingResponse
    .then(response => response.ended)
    .then(() => {
      trace.end()
    }, onError)
}

/** Error kinds that say nothing about the runner. */
const neutralErrorKinds: ReadonlySet<string> = new Set([
  'caller-left',
  'deadline-passed',
  'bad-header',
])

/**
 * Reports a failed attempt and returns the slot of the next one, or undefined when there is none. A
 * permit of a team covers one run at a time, so after an unknown outcome the next attempt needs
 * another permit or waits until the failed one has settled.
 */
async function reserveRetry(
  opts: DispatchOptions,
  req: UpstreamRequest,
  err: RequestError,
  failed: Reservation,
  tried: ReadonlySet<string>,
  runs: RequestRuns,
  durationMs: number,
): Promise<Reservation | undefined> {
  const isUpstreamError = err.kind.startsWith('upstream-') || err.kind.startsWith('answer-')
  const isRefusal = err.kind === 'no-upstream'
  const isLate = err.kind === 'deadline-passed' && err.outcome !== 'not-run'
  failed.report(isUpstreamError ? 'failed' : isLate ? 'late' : 'neutral', durationMs)
  const canRetry =
    !neutralErrorKinds.has(err.kind) &&
    (isUpstreamError || isRefusal) &&
    (opts.idempotent || err.outcome === 'not-run') &&
    !(req.body instanceof Readable) &&
    opts.retryBudget.tryTakeRetry()
  if (err.outcome === 'not-run') failed.release()
  else {
    const settled = failed.client.settled(req.id)
    const permit = canRetry ? opts.takePermit?.() : undefined
    if (permit) {
      runs.keepPermit(permit)
      runs.releaseWhenSettled(failed, settled)
    } else if (!canRetry || !(await isSettledBefore(settled, req.deadline - opts.clock.now()))) {
      runs.releaseWhenSettled(failed, settled)
      runs.finish()
      return undefined
    } else failed.release()
  }
  const isInTime = opts.clock.now() < req.deadline && req.signal?.aborted !== true
  const next =
    canRetry && isInTime
      ? opts.router.reserve({ exclude: tried, idempotent: opts.idempotent, canBeTrial: false })
      : undefined
  if (!next) runs.finish()
  return next
}

async function isSettledBefore(settled: Promise<void>, timeoutMs: number): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<boolean>(resolve => {
    timer = setTimeout(resolve, timeoutMs, false)
  })
  const isInTime = await Promise.race([settled.then(() => true), timeout])
  clearTimeout(timer)
  return isInTime
}
