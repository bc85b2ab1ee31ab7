import { RequestError, toRequestError, type Clock } from '@bulrushbridge/errors'
import type { UpstreamAnswer, UpstreamRequest } from '@bulrushbridge/upstream-link'
import { Readable } from 'node:stream'
import { bufferBody } from './request-body.js'
import type { RetryBudget } from './retry-budget.js'
import type { Reservation, Router } from './router.js'

/** The trace of one attempt. */
export interface AttemptTrace {
  /** Header for the runner. */
  traceparent: string
  /** Called once when the attempt is over, with the kind of its error. */
  end(errorKind?: string): void
}

/** Options of {@link dispatch}. */
export interface DispatchOptions {
  router: Router
  req: UpstreamRequest
  /** Whether the method is idempotent. */
  idempotent: boolean
  retryBudget: RetryBudget
  /** See `SendHooks` of upstream-link; called before every attempt. */
  beforeWrite?: (() => void) | undefined
  clock: Clock
  /** Called for each attempt, for traces; undefined leaves the request as it is. */
  startAttempt?: ((runner: string) => AttemptTrace | undefined) | undefined
  /** A slot taken already; otherwise one is reserved synchronously. */
  reservation?: Reservation | undefined
}

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
  let resolveSettled: () => void = () => undefined
  const settled = new Promise<void>(resolve => (resolveSettled = resolve))
  return { answer: run(opts, reservation, resolveSettled), settled }
}

async function run(
  opts: DispatchOptions,
  first: Reservation,
  onSettled: () => void,
): Promise<UpstreamAnswer> {
  const tried = new Set<string>()
  let reservation = first
  let req = opts.req
  for (;;) {
    const current = reservation
    tried.add(current.runner.id)
    try {
      if (req.body instanceof Readable) {
        const limitMs = req.deadline - opts.clock.now()
        req = { ...req, body: await bufferBody(req.body, { limitMs, signal: req.signal }) }
      }
      return await attempt(opts, req, current, onSettled)
    } catch (thrown) {
      const err = toRequestError(thrown)
      const next = await retry(opts, req, err, current, tried, onSettled)
      if (!next) throw err
      reservation = next
    }
  }
}

async function attempt(
  opts: DispatchOptions,
  req: UpstreamRequest,
  reservation: Reservation,
  onSettled: () => void,
): Promise<UpstreamAnswer> {
  const { beforeWrite, clock } = opts
  const began = clock.now()
  const traced = opts.startAttempt?.(reservation.runner.id)
  const sent = traced ? { ...req, traceparent: traced.traceparent } : req
  const sending = reservation.links.send(sent, { beforeWrite })
  if (traced) endWith(traced, sending)
  const answer = await sending
  const latencyMs = clock.now() - began
  const settle = (): void => {
    reservation.release()
    onSettled()
  }
  const onEnd = (): void => {
    reservation.report(answer.status >= 500 ? 'failed' : 'ok', latencyMs)
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
 * After a failed attempt: the slot of the next one, or undefined. An attempt with an unknown
 * outcome is settled first, because the team's permit covers one run at a time.
 */
async function retry(
  opts: DispatchOptions,
  req: UpstreamRequest,
  err: RequestError,
  failed: Reservation,
  tried: ReadonlySet<string>,
  onSettled: () => void,
): Promise<Reservation | undefined> {
  const isUpstreams = err.kind.startsWith('upstream-') || err.kind.startsWith('answer-')
  const isRefusal = err.kind === 'no-upstream'
  failed.report(isUpstreams ? 'failed' : 'neutral', 0)
  const settled = err.outcome === 'not-run' ? undefined : failed.links.settled(req.id)
  const release = (): void => {
    failed.release()
  }
  const mayRetry =
    !neutralKinds.has(err.kind) &&
    (isUpstreams || isRefusal) &&
    (opts.idempotent || err.outcome === 'not-run') &&
    !(req.body instanceof Readable) &&
    opts.retryBudget.tryRetry()
  if (!settled) release()
  else if (!mayRetry || !(await isSettledBefore(settled, req.deadline - opts.clock.now()))) {
    void settled.then(release).then(onSettled)
    return undefined
  } else release()
  const isInTime = opts.clock.now() < req.deadline && req.signal?.aborted !== true
  const next =
    mayRetry && isInTime
      ? opts.router.reserve({ exclude: tried, idempotent: opts.idempotent })
      : undefined
  if (!next) onSettled()
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
