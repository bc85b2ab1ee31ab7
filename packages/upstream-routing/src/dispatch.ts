import { RequestError, toRequestError } from '@bulrushbridge/errors'
import type { UpstreamAnswer, UpstreamRequest } from '@bulrushbridge/upstream-link'
import { Readable } from 'node:stream'
import type { AttemptTrace, DispatchOptions } from './dispatch-options.js'
import { Move } from './move.js'
import { bufferBody } from './request-body.js'
import { Runs } from './runs.js'
import type { Reservation } from './types.js'

/** A dispatched request. */
export interface Dispatched {
  /** The answer, or a {@link RequestError}. */
  answer: Promise<UpstreamAnswer>
  /** Resolves, and never rejects, when no work of the request can be running at any runner. */
  settled: Promise<void>
}

/**
 * Sends a request to a runner and retries where that cannot run it twice.
 *
 * @example
 * const { answer, settled } = dispatch({ router, req, idempotent, retryBudget, clock })
 * void settled.then(() => permit.release())
 */
export function dispatch(opts: DispatchOptions): Dispatched {
  opts.retryBudget.countRequest()
  const reservation = opts.reservation ?? opts.router.reserve({ idempotent: opts.idempotent })
  if (!reservation) {
    return { answer: Promise.reject(new RequestError('no-upstream')), settled: Promise.resolve() }
  }
  const runs = new Runs()
  return { answer: run(opts, reservation, runs), settled: runs.settled }
}

async function run(opts: DispatchOptions, first: Reservation, runs: Runs): Promise<UpstreamAnswer> {
  const tried = new Set<string>()
  let reservation = first
  let req = opts.req
  let mayHaveRun = false
  for (;;) {
    const current = reservation
    tried.add(current.runner.id)
    const began = opts.clock.now()
    const move = new Move(opts, current, tried, runs)
    try {
      if (req.body instanceof Readable) {
        const limitMs = req.deadline - opts.clock.now()
        req = { ...req, body: await bufferBody(req.body, { limitMs, signal: req.signal }) }
      }
      return await attempt(opts, req, current, runs, move)
    } catch (thrown) {
      const err = toRequestError(thrown)
      const next = move.next
        ? afterMove(req, err, current, move.next, runs, opts.clock.now() - began)
        : await retry(opts, req, err, current, tried, runs, opts.clock.now() - began)
      mayHaveRun ||= err.outcome !== 'not-run'
      if (!next) throw mayHaveRun ? withUnknownOutcome(err) : err
      reservation = next
    } finally {
      move.end()
    }
  }
}

/** An earlier run of the request may have started, whatever its last attempt says of itself. */
function withUnknownOutcome(err: RequestError): RequestError {
  if (err.outcome !== 'not-run') return err
  return new RequestError(err.kind, { outcome: 'unknown', message: err.message, cause: err })
}

/** After a move: the slot of the second run, or undefined when the caller has left as well. */
function afterMove(
  req: UpstreamRequest,
  err: RequestError,
  from: Reservation,
  next: Reservation,
  runs: Runs,
  tookMs: number,
): Reservation | undefined {
  from.report('late', tookMs)
  if (err.outcome === 'not-run') from.release()
  else runs.abandon(from, from.links.settled(req.id))
  if (req.signal?.aborted !== true) return next
  next.release()
  runs.end()
  return undefined
}

async function attempt(
  opts: DispatchOptions,
  req: UpstreamRequest,
  reservation: Reservation,
  runs: Runs,
  move: Move,
): Promise<UpstreamAnswer> {
  const { beforeWrite, clock } = opts
  const began = clock.now()
  const traced = opts.startAttempt?.(reservation.runner.id)
  const sent = traced ? { ...req, traceparent: traced.traceparent } : req
  const sending = reservation.links.send(sent, {
    beforeWrite,
    onStart: giveUp => {
      move.arm(req, giveUp)
    },
  })
  if (traced) endWith(traced, sending)
  const answer = await sending
  if (move.next) {
    // The answer began in the same turn as the move, which has cut it already.
    answer.body.destroy()
    throw new RequestError('caller-left', { outcome: 'unknown' })
  }
  move.end()
  reservation.answered()
  const latencyMs = clock.now() - began
  const inTime = clock.now() <= req.deadline
  const settle = (): void => {
    reservation.release()
    runs.end()
  }
  const onEnd = (): void => {
    reservation.report(answer.status >= 500 ? 'failed' : inTime ? 'ok' : 'late', latencyMs)
    settle()
  }
  answer.ended.then(onEnd, (err: unknown) => {
    const isCut = err instanceof RequestError && err.kind === 'answer-cut'
    reservation.report(isCut ? 'failed' : 'neutral', latencyMs)
    void reservation.links.settled(req.id).then(settle)
  })
  return answer
}

/** Ends the trace of an attempt with its complete answer or its error. */
function endWith(traced: AttemptTrace, sending: Promise<UpstreamAnswer>): void {
  const onError = (err: unknown): void => {
    traced.end(toRequestError(err).kind)
  }
  sending
    .then(answer => answer.ended)
    .then(() => {
      traced.end()
    }, onError)
}

/** Kinds that say nothing about the runner. */
const neutralKinds: ReadonlySet<string> = new Set(['caller-left', 'deadline-passed', 'bad-header'])

/**
 * After a failed attempt: the slot of the next one, or undefined. A team's permit covers one run at
 * a time, so after an unknown outcome the next attempt needs another permit or waits until the
 * failed one has settled.
 */
async function retry(
  opts: DispatchOptions,
  req: UpstreamRequest,
  err: RequestError,
  failed: Reservation,
  tried: ReadonlySet<string>,
  runs: Runs,
  tookMs: number,
): Promise<Reservation | undefined> {
  const isUpstreams = err.kind.startsWith('upstream-') || err.kind.startsWith('answer-')
  const isRefusal = err.kind === 'no-upstream'
  const isLate = err.kind === 'deadline-passed' && err.outcome !== 'not-run'
  failed.report(isUpstreams ? 'failed' : isLate ? 'late' : 'neutral', tookMs)
  const mayRetry =
    !neutralKinds.has(err.kind) &&
    (isUpstreams || isRefusal) &&
    (opts.idempotent || err.outcome === 'not-run') &&
    !(req.body instanceof Readable) &&
    opts.retryBudget.tryRetry()
  if (err.outcome === 'not-run') failed.release()
  else {
    const settled = failed.links.settled(req.id)
    const permit = mayRetry ? opts.takePermit?.() : undefined
    if (permit) {
      runs.hold(permit)
      runs.abandon(failed, settled)
    } else if (!mayRetry || !(await isSettledBefore(settled, req.deadline - opts.clock.now()))) {
      runs.abandon(failed, settled)
      runs.end()
      return undefined
    } else failed.release()
  }
  const isInTime = opts.clock.now() < req.deadline && req.signal?.aborted !== true
  const next =
    mayRetry && isInTime
      ? opts.router.reserve({ exclude: tried, idempotent: opts.idempotent, trial: false })
      : undefined
  if (!next) runs.end()
  return next
}

async function isSettledBefore(settled: Promise<void>, limitMs: number): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined
  const limit = new Promise<boolean>(resolve => {
    timer = setTimeout(resolve, limitMs, false)
  })
  const inTime = await Promise.race([settled.then(() => true), limit])
  clearTimeout(timer)
  return inTime
}
