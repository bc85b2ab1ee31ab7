import { RequestError, type ErrorKind } from '@bulrushbridge/errors'
import type { Charge } from '@bulrushbridge/team-share'
import { guaranteedPart, lendingLimit, queuedPerSlot } from './bounds.js'
import { Expiry } from './expiry.js'
import { createWaiter, TeamLine, type Waiter } from './team-line.js'
import type { Admission, AdmissionOptions, EntryRequest, Start } from './types.js'

/** Shortest retry hint, so that refused callers do not return at once. */
const minRetryMs = 100

/**
 * Part of the time to its deadline that a newcomer's estimated wait and work may take. The estimate
 * follows changes of the allocation and of the work with a delay; without a reserve a long queue
 * starts every request with hardly more time left than its work takes.
 */
const plannedPart = 3 / 4

/**
 * Creates the bounded queue in front of a pool's runners. Nothing that it refuses has run.
 *
 * @example
 * const admission = createAdmission({ pool, clock, rng, slots, free, tryStart, queue, shares })
 * const start = await admission.enter({ team, deadline, requestId })
 * try { await send(start.reservation) } finally { start.end(); admission.pump('slot') }
 */
export function createAdmission<R extends object>(opts: AdmissionOptions<R>): Admission<R> {
  return new PoolAdmission(opts)
}

class PoolAdmission<R extends object> implements Admission<R> {
  readonly #opts: AdmissionOptions<R>
  readonly #lines = new Map<string, TeamLine<R>>()
  readonly #expiry: Expiry<R>
  #seq = 0
  #closing = false
  #pumping = false
  readonly #onEmpty: (() => void)[] = []

  constructor(opts: AdmissionOptions<R>) {
    this.#opts = opts
    this.#expiry = new Expiry({
      clock: opts.clock,
      timers: opts.timers,
      onDue: () => {
        this.pump('slot')
      },
    })
  }

  enter(req: EntryRequest): Promise<Start<R>> {
    const line = this.#lineOf(req.team)
    const refusal = this.#unfit(req)
    if (refusal) return Promise.reject(this.#refuse(refusal, line))
    const passing = this.#opts.tryPassQueue?.(req)
    if (passing) return Promise.resolve(this.#begin(line, passing))
    if (this.#opts.queue.ready === 0 && line.waiting === 0 && this.#opts.free() > 0) {
      const got = this.#opts.tryStart(req.team)
      if (typeof got === 'object') return Promise.resolve(this.#begin(line, got))
      if (got !== 'no-slot') this.#block(line, got)
    }
    const overload = this.#overload(req, line)
    if (overload) return Promise.reject(this.#refuse(overload, line))
    const queued = new Promise<Start<R>>((resolve, reject) => {
      this.#add(line, createWaiter({ req, seq: this.#seq++, resolve, reject }))
    })
    this.pump('slot')
    return queued
  }

  pump(freed?: 'slot'): void {
    // tryStart or end may call back into pump.
    if (this.#pumping) return
    this.#pumping = true
    try {
      this.#expire()
      if (freed !== 'slot') for (const line of this.#lines.values()) this.#unblock(line)
      this.#drain()
    } finally {
      this.#pumping = false
    }
  }

  refuseWhere(matches: (req: EntryRequest) => boolean, err: () => RequestError): number {
    let count = 0
    for (const waiter of [...this.#waiters()]) {
      if (!matches(waiter.req)) continue
      this.#remove(waiter)
      waiter.reject(err())
      count++
    }
    return count
  }

  withdrawTeam(team: string, err: () => RequestError): number {
    return this.refuseWhere(req => req.team === team, err)
  }

  demand() {
    const entries = []
    for (const { team, running, waiting } of this.#lines.values()) {
      if (running + waiting > 0) entries.push({ team, running, waiting })
    }
    return entries
  }

  close(): Promise<void> {
    this.#closing = true
    if (this.#expiry.size === 0) return Promise.resolve()
    return new Promise(resolve => this.#onEmpty.push(resolve))
  }

  abort(): void {
    this.#closing = true
    this.refuseWhere(
      () => true,
      () => new RequestError('shutting-down', { retryAfterMs: this.#spread(0) }),
    )
  }

  #unfit(req: EntryRequest): ErrorKind | undefined {
    if (this.#closing) return 'shutting-down'
    if (req.signal?.aborted) return 'caller-left'
    if (req.deadline <= this.#opts.clock.now()) return 'deadline-passed'
    return this.#opts.slots() > 0 ? undefined : 'no-upstream'
  }

  /** Why the queue cannot take the request; may displace one of a team over its part. */
  #overload(req: EntryRequest, line: TeamLine<R>): ErrorKind | undefined {
    const limited = line.refusal === 'no-permit'
    const now = this.#opts.clock.now()
    const neededMs = line.waitMs(this.#meanMs(line)) + this.#meanMs(line)
    if (line.waiting > 0 && neededMs > (req.deadline - now) * plannedPart) {
      return limited ? 'team-limit-reached' : 'deadline-too-short'
    }
    const full = limited ? 'team-limit-reached' : 'queue-full'
    const capacity = queuedPerSlot * this.#opts.slots()
    if (line.waiting >= guaranteedPart(this.#opts.shares(), req.team, capacity)) {
      return this.#expiry.size < capacity * lendingLimit ? undefined : full
    }
    return this.#expiry.size < capacity || this.#displace(capacity) ? undefined : full
  }

  /** Refuses the newest request of the team that is most over its part of the queue. */
  #displace(capacity: number): boolean {
    const shares = this.#opts.shares()
    let worst: TeamLine<R> | undefined
    let excess = 1
    for (const line of this.#lines.values()) {
      const ratio = line.waiting / guaranteedPart(shares, line.team, capacity)
      if (ratio > excess) {
        excess = ratio
        worst = line
      }
    }
    const victim = worst?.newest.peek()
    if (!worst || !victim) return false
    this.#remove(victim)
    victim.reject(this.#refuse('queue-full', worst))
    return true
  }

  #drain(): void {
    const { queue, free, tryStart } = this.#opts
    while (free() > 0) {
      const team = queue.next()
      if (team === undefined) return
      const line = this.#lineOf(team)
      const waiter = this.#firstInTime(line)
      if (!waiter) continue
      const got = tryStart(team)
      if (got === 'no-slot') return
      if (typeof got !== 'object') {
        this.#block(line, got)
        continue
      }
      const start = this.#begin(line, got)
      this.#remove(waiter)
      waiter.resolve(start)
    }
  }

  /** The team's first request that can still end in time; refuses those that cannot. */
  #firstInTime(line: TeamLine<R>): Waiter<R> | undefined {
    const earliest = this.#opts.clock.now() + this.#opts.queue.boundMs(line.team)
    for (;;) {
      const waiter = line.first.peek()
      if (!waiter || waiter.req.deadline >= earliest) return waiter
      this.#remove(waiter)
      waiter.reject(this.#refuse('deadline-too-short', line))
    }
  }

  #begin(line: TeamLine<R>, reservation: R): Start<R> {
    line.running++
    this.#unblock(line)
    return new RunningStart(reservation, this.#opts.queue.started(line.team), this.#finish)
  }

  readonly #finish = (charge: Charge): void => {
    this.#lineOf(charge.team).running--
    this.#opts.queue.ended(charge)
  }

  #block(line: TeamLine<R>, refusal: 'no-permit' | 'blocked'): void {
    line.refusal = refusal
    this.#opts.queue.block(line.team)
  }

  #unblock(line: TeamLine<R>): void {
    if (!line.refusal) return
    line.refusal = undefined
    this.#opts.queue.unblock(line.team)
  }

  #add(line: TeamLine<R>, waiter: Waiter<R>): void {
    line.first.push(waiter.first)
    line.newest.push(waiter.newest)
    this.#expiry.push(waiter)
    this.#opts.queue.activate(line.team)
    const { signal } = waiter.req
    if (signal) {
      waiter.onAbort = () => {
        this.#remove(waiter)
        waiter.reject(new RequestError('caller-left'))
      }
      signal.addEventListener('abort', waiter.onAbort, { once: true })
    }
  }

  #remove(waiter: Waiter<R>): void {
    const line = this.#lineOf(waiter.req.team)
    line.first.remove(waiter.first)
    line.newest.remove(waiter.newest)
    this.#expiry.remove(waiter)
    if (waiter.onAbort) waiter.req.signal?.removeEventListener('abort', waiter.onAbort)
    if (line.waiting === 0) this.#opts.queue.deactivate(line.team)
    if (this.#expiry.size === 0) {
      for (const resolve of this.#onEmpty.splice(0)) resolve()
    }
  }

  #expire(): void {
    for (;;) {
      const waiter = this.#expiry.due()
      if (!waiter) return
      this.#remove(waiter)
      waiter.reject(this.#refuse('deadline-passed', this.#lineOf(waiter.req.team)))
    }
  }

  #refuse(kind: ErrorKind, line: TeamLine<R>): RequestError {
    return new RequestError(kind, {
      retryAfterMs: this.#spread(line.waitMs(this.#meanMs(line))),
    })
  }

  #meanMs(line: TeamLine<R>): number {
    return this.#opts.queue.expectedMs(line.team)
  }

  /** Between one and two estimated waits, so that refused callers do not return together. */
  #spread(waitMs: number): number {
    return Math.ceil(Math.max(waitMs, minRetryMs) * (1 + this.#opts.rng()))
  }

  *#waiters(): Generator<Waiter<R>> {
    for (const line of this.#lines.values()) yield* line.newest.items()
  }

  #lineOf(team: string): TeamLine<R> {
    const known = this.#lines.get(team)
    if (known) return known
    const line = new TeamLine<R>(team, this.#opts.order ?? 'arrival')
    this.#lines.set(team, line)
    return line
  }
}

class RunningStart<R> implements Start<R> {
  readonly reservation: R
  readonly #charge: Charge
  #finish: ((charge: Charge) => void) | undefined

  constructor(reservation: R, charge: Charge, finish: (charge: Charge) => void) {
    this.reservation = reservation
    this.#charge = charge
    this.#finish = finish
  }

  get team(): string {
    return this.#charge.team
  }

  end(): void {
    this.#finish?.(this.#charge)
    this.#finish = undefined
  }
}
