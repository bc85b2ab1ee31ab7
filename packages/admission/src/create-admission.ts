import { RequestError, type ErrorKind } from '@bulrushbridge/errors'
import type { Charge } from '@bulrushbridge/team-share'
import { teamQueueQuota, overQuotaFillLimit, queuedPerSlot } from './queue-limits.js'
import { DeadlineQueue } from './deadline-queue.js'
import { createQueuedRequest, TeamQueue, type QueuedRequest } from './team-queue.js'
import type { Admission, AdmissionOptions, AdmissionRequest, AdmittedRequest } from './types.js'

/** Shortest retry-after hint, so that refused callers do not retry immediately. */
const minRetryAfterMs = 100

/**
 * Fraction of the time until its deadline that the estimated wait and run time of a new request may
 * take. The estimate lags behind changes of the slot allocation and of the run times. Without this
 * reserve, a request in a long queue starts with hardly more time left than it needs to run.
 */
const plannedTimeFraction = 3 / 4

/**
 * Creates the bounded queue in front of a pool's runners. A request that it refuses has not run.
 *
 * @example
 * const admission = createAdmission({ pool, clock, rng, slots, free, tryStart, queue, shares })
 * const admitted = await admission.enter({ team, deadline, requestId })
 * try { await send(admitted.reservation) } finally { admitted.end(); admission.startQueued('slot') }
 */
export function createAdmission<R extends object>(opts: AdmissionOptions<R>): Admission<R> {
  return new PoolAdmission(opts)
}

class PoolAdmission<R extends object> implements Admission<R> {
  readonly #opts: AdmissionOptions<R>
  readonly #teamQueues = new Map<string, TeamQueue<R>>()
  readonly #deadlines: DeadlineQueue<R>
  #seq = 0
  #isClosing = false
  #isStarting = false
  readonly #emptyListeners: (() => void)[] = []

  constructor(opts: AdmissionOptions<R>) {
    this.#opts = opts
    this.#deadlines = new DeadlineQueue({
      clock: opts.clock,
      timers: opts.timers,
      onDeadlinePassed: () => {
        this.startQueued('slot')
      },
    })
  }

  enter(req: AdmissionRequest): Promise<AdmittedRequest<R>> {
    const teamQueue = this.#teamQueueOf(req.team)
    const ineligibleReason = this.#ineligibleReason(req)
    if (ineligibleReason) return Promise.reject(this.#refusalError(ineligibleReason, teamQueue))
    const bypassReservation = this.#opts.tryBypassQueue?.(req)
    if (bypassReservation) return Promise.resolve(this.#recordStart(teamQueue, bypassReservation))
    if (this.#opts.queue.readyCount === 0 && teamQueue.waiting === 0 && this.#opts.free() > 0) {
      const result = this.#opts.tryStart(req.team)
      if (typeof result === 'object') return Promise.resolve(this.#recordStart(teamQueue, result))
      if (result !== 'no-slot') this.#block(teamQueue, result)
    }
    const overloadReason = this.#overloadReason(req, teamQueue)
    if (overloadReason) return Promise.reject(this.#refusalError(overloadReason, teamQueue))
    const admitted = new Promise<AdmittedRequest<R>>((resolve, reject) => {
      this.#add(teamQueue, createQueuedRequest({ req, seq: this.#seq++, resolve, reject }))
    })
    this.startQueued('slot')
    return admitted
  }

  startQueued(freed?: 'slot'): void {
    // tryStart or the end of a request may call this method again.
    if (this.#isStarting) return
    this.#isStarting = true
    try {
      this.#refuseExpired()
      if (freed !== 'slot')
        for (const teamQueue of this.#teamQueues.values()) this.#unblock(teamQueue)
      this.#startWhileFree()
    } finally {
      this.#isStarting = false
    }
  }

  refuseWhere(matches: (req: AdmissionRequest) => boolean, err: () => RequestError): number {
    let count = 0
    for (const queued of [...this.#queuedRequests()]) {
      if (!matches(queued.req)) continue
      this.#remove(queued)
      queued.reject(err())
      count++
    }
    return count
  }

  refuseTeam(team: string, err: () => RequestError): number {
    return this.refuseWhere(req => req.team === team, err)
  }

  demand() {
    const entries = []
    for (const { team, running, waiting } of this.#teamQueues.values()) {
      if (running + waiting > 0) entries.push({ team, running, waiting })
    }
    return entries
  }

  close(): Promise<void> {
    this.#isClosing = true
    if (this.#deadlines.size === 0) return Promise.resolve()
    return new Promise(resolve => this.#emptyListeners.push(resolve))
  }

  abort(): void {
    this.#isClosing = true
    this.refuseWhere(
      () => true,
      () => new RequestError('shutting-down', { retryAfterMs: this.#jitterRetryMs(0) }),
    )
  }

  #ineligibleReason(req: AdmissionRequest): ErrorKind | undefined {
    if (this.#isClosing) return 'shutting-down'
    if (req.signal?.aborted) return 'caller-left'
    if (req.deadline <= this.#opts.clock.now()) return 'deadline-passed'
    return this.#opts.slots() > 0 ? undefined : 'no-upstream'
  }

  /**
   * Returns why the queue cannot take the request, or undefined. To make room it may evict a queued
   * request of a team that is over its quota.
   */
  #overloadReason(req: AdmissionRequest, teamQueue: TeamQueue<R>): ErrorKind | undefined {
    const isAtTeamLimit = teamQueue.refusal === 'no-permit'
    const now = this.#opts.clock.now()
    const estimatedTotalMs =
      teamQueue.estimateWaitMs(this.#expectedRunMs(teamQueue)) + this.#expectedRunMs(teamQueue)
    if (teamQueue.waiting > 0 && estimatedTotalMs > (req.deadline - now) * plannedTimeFraction) {
      return isAtTeamLimit ? 'team-limit-reached' : 'deadline-too-short'
    }
    const fullReason = isAtTeamLimit ? 'team-limit-reached' : 'queue-full'
    const capacity = queuedPerSlot * this.#opts.slots()
    if (teamQueue.waiting >= teamQueueQuota(this.#opts.shares(), req.team, capacity)) {
      return this.#deadlines.size < capacity * overQuotaFillLimit ? undefined : fullReason
    }
    return this.#deadlines.size < capacity || this.#evictNewest(capacity) ? undefined : fullReason
  }

  /** Refuses the newest request of the team that exceeds its queue quota by the largest ratio. */
  #evictNewest(capacity: number): boolean {
    const shares = this.#opts.shares()
    let mostOverQuota: TeamQueue<R> | undefined
    let highestRatio = 1
    for (const teamQueue of this.#teamQueues.values()) {
      const ratio = teamQueue.waiting / teamQueueQuota(shares, teamQueue.team, capacity)
      if (ratio > highestRatio) {
        highestRatio = ratio
        mostOverQuota = teamQueue
      }
    }
    const evicted = mostOverQuota?.newestFirst.peek()
    if (!mostOverQuota || !evicted) return false
    this.#remove(evicted)
    evicted.reject(this.#refusalError('queue-full', mostOverQuota))
    return true
  }

  #startWhileFree(): void {
    const { queue, free, tryStart } = this.#opts
    while (free() > 0) {
      const team = queue.next()
      if (team === undefined) return
      const teamQueue = this.#teamQueueOf(team)
      const queued = this.#nextInTime(teamQueue)
      if (!queued) continue
      const result = tryStart(team)
      if (result === 'no-slot') return
      if (typeof result !== 'object') {
        this.#block(teamQueue, result)
        continue
      }
      const admitted = this.#recordStart(teamQueue, result)
      this.#remove(queued)
      queued.resolve(admitted)
    }
  }

  /** Returns the team's first request that can still end in time, and refuses those that cannot. */
  #nextInTime(teamQueue: TeamQueue<R>): QueuedRequest<R> | undefined {
    const earliest = this.#opts.clock.now() + this.#opts.queue.boundMs(teamQueue.team)
    for (;;) {
      const queued = teamQueue.startOrder.peek()
      if (!queued || queued.req.deadline >= earliest) return queued
      this.#remove(queued)
      queued.reject(this.#refusalError('deadline-too-short', teamQueue))
    }
  }

  #recordStart(teamQueue: TeamQueue<R>, reservation: R): AdmittedRequest<R> {
    teamQueue.running++
    this.#unblock(teamQueue)
    return new RunningRequest(
      reservation,
      this.#opts.queue.recordStart(teamQueue.team),
      this.#recordEnd,
    )
  }

  readonly #recordEnd = (charge: Charge): void => {
    this.#teamQueueOf(charge.team).running--
    this.#opts.queue.recordEnd(charge)
  }

  #block(teamQueue: TeamQueue<R>, refusal: 'no-permit' | 'blocked'): void {
    teamQueue.refusal = refusal
    this.#opts.queue.block(teamQueue.team)
  }

  #unblock(teamQueue: TeamQueue<R>): void {
    if (!teamQueue.refusal) return
    teamQueue.refusal = undefined
    this.#opts.queue.unblock(teamQueue.team)
  }

  #add(teamQueue: TeamQueue<R>, queued: QueuedRequest<R>): void {
    teamQueue.startOrder.push(queued.startHandle)
    teamQueue.newestFirst.push(queued.newestHandle)
    this.#deadlines.push(queued)
    this.#opts.queue.activate(teamQueue.team)
    const { signal } = queued.req
    if (signal) {
      queued.onAbort = () => {
        this.#remove(queued)
        queued.reject(new RequestError('caller-left'))
      }
      signal.addEventListener('abort', queued.onAbort, { once: true })
    }
  }

  #remove(queued: QueuedRequest<R>): void {
    const teamQueue = this.#teamQueueOf(queued.req.team)
    teamQueue.startOrder.remove(queued.startHandle)
    teamQueue.newestFirst.remove(queued.newestHandle)
    this.#deadlines.remove(queued)
    if (queued.onAbort) queued.req.signal?.removeEventListener('abort', queued.onAbort)
    if (teamQueue.waiting === 0) this.#opts.queue.deactivate(teamQueue.team)
    if (this.#deadlines.size === 0) {
      for (const resolve of this.#emptyListeners.splice(0)) resolve()
    }
  }

  #refuseExpired(): void {
    for (;;) {
      const queued = this.#deadlines.peekExpired()
      if (!queued) return
      this.#remove(queued)
      queued.reject(this.#refusalError('deadline-passed', this.#teamQueueOf(queued.req.team)))
    }
  }

  #refusalError(kind: ErrorKind, teamQueue: TeamQueue<R>): RequestError {
    return new RequestError(kind, {
      retryAfterMs: this.#jitterRetryMs(teamQueue.estimateWaitMs(this.#expectedRunMs(teamQueue))),
    })
  }

  #expectedRunMs(teamQueue: TeamQueue<R>): number {
    return this.#opts.queue.expectedMs(teamQueue.team)
  }

  /**
   * Picks a time between one and two estimated waits, so that refused callers do not retry
   * together.
   */
  #jitterRetryMs(estimatedWaitMs: number): number {
    return Math.ceil(Math.max(estimatedWaitMs, minRetryAfterMs) * (1 + this.#opts.rng()))
  }

  *#queuedRequests(): Generator<QueuedRequest<R>> {
    for (const teamQueue of this.#teamQueues.values()) yield* teamQueue.newestFirst.items()
  }

  #teamQueueOf(team: string): TeamQueue<R> {
    const existing = this.#teamQueues.get(team)
    if (existing) return existing
    const teamQueue = new TeamQueue<R>(team, this.#opts.order ?? 'arrival')
    this.#teamQueues.set(team, teamQueue)
    return teamQueue
  }
}

class RunningRequest<R> implements AdmittedRequest<R> {
  readonly reservation: R
  readonly #charge: Charge
  #recordEnd: ((charge: Charge) => void) | undefined

  constructor(reservation: R, charge: Charge, recordEnd: (charge: Charge) => void) {
    this.reservation = reservation
    this.#charge = charge
    this.#recordEnd = recordEnd
  }

  get team(): string {
    return this.#charge.team
  }

  end(): void {
    this.#recordEnd?.(this.#charge)
    this.#recordEnd = undefined
  }
}
