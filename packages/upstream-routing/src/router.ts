import type { Runner, Service } from '@bulrushbridge/contract'
import type { Clock } from '@bulrushbridge/errors'
import type { RunnerLinks, RunnerLinksOptions } from '@bulrushbridge/upstream-link'
import { median } from './latency-window.js'
import { RoutedRunner } from './routed-runner.js'

/** Failures in a row that eject a runner. */
const ejectFailures = 5
/** A runner is ejected when its median latency is over this many times that of the pool. */
const ejectLatency = 3
/** Latency medians closer than this are not compared, in milliseconds. */
const minLatencyGapMs = 10
/** Pause before each trial request, in milliseconds. */
const trialPauseMs = 1_000
/** Interval at which medians are compared, in milliseconds. */
const latencyCheckMs = 1_000

/** A decision of the router with what it rests on. */
export interface RoutingDecision {
  kind: 'ejected' | 'not-ejected' | 'reinstated' | 'connections-retired' | 'health-changed'
  runner: string
  observed: Record<string, number | string>
}

/** Options of {@link createRouter}. */
export interface RouterOptions {
  service: Pick<Service, 'name' | 'slots' | 'connections' | 'runners'>
  /** Availability zone of this entry host. */
  zone: string
  /** Numbers in [0, 1). */
  rng: () => number
  clock: Clock
  createLinks: (opts: RunnerLinksOptions) => RunnerLinks
  onDecision?: ((decision: RoutingDecision) => void) | undefined
}

/** How an attempt went, for ejection. */
export type AttemptResult = 'ok' | 'failed' | 'neutral'

/** A slot of one runner. */
export interface Reservation {
  readonly runner: Runner
  readonly links: RunnerLinks
  /** True for the trial of an ejected runner, which must not carry a non-idempotent request. */
  readonly isTrial: boolean
  /** Reports an attempt that took `latencyMs`; at most once. */
  report(result: AttemptResult, latencyMs: number): void
  /** Gives the slot back; later calls do nothing. */
  release(): void
}

/** Choice between the runners of one service. */
export interface Router {
  /** Takes a slot, or returns undefined when no runner has one. Trials take idempotent requests only. */
  reserve(opts: { exclude?: ReadonlySet<string>; idempotent: boolean }): Reservation | undefined
  /** Slots that can be reserved now. */
  free(): number
  /** Requests in flight from this entry host, by runner id; only non-zero ones. */
  load(): Map<string, number>
  setRunners(runners: readonly Runner[]): void
  setZonesOut(zones: readonly string[]): void
  /** Sum of the peers' last reports, by runner id. */
  setPeerLoad(load: ReadonlyMap<string, number>): void
  /**
   * This entry host's part of each runner by runner id, which then replaces the slots that the
   * peers' last reports leave; undefined while the pool has slots that no entry host claims.
   */
  setParts(parts: ReadonlyMap<string, number> | undefined): void
  /** Hosts that the host list says are leaving. */
  setLeaving(hosts: readonly string[]): void
  /** Hosts that the host list says have gone; what ran there is over. */
  setGone(hosts: readonly string[]): void
  /** Calls back whenever a slot may have become free. Returns the removal. */
  onFree(cb: () => void): () => void
  /** Takes no more reservations and resolves when all connections are closed. */
  close(): Promise<void>
}

/**
 * Creates the router of one service.
 *
 * @example
 * const router = createRouter({ service, zone, rng, clock, createLinks: createRunnerLinks })
 * const reservation = router.reserve({ idempotent: true })
 */
export function createRouter(opts: RouterOptions): Router {
  return new ServiceRouter(opts)
}

class ServiceRouter implements Router {
  readonly #runners = new Map<string, RoutedRunner>()
  readonly #freeCallbacks = new Set<() => void>()
  /** Runners whose work is being waited for, removed ones among them. */
  readonly #closing = new Map<RoutedRunner, Promise<void>>()
  #zonesOut: ReadonlySet<string> = new Set()
  #leaving: ReadonlySet<string> = new Set()
  #latencyCheckAt = 0
  #isClosing = false

  constructor(private readonly opts: RouterOptions) {
    this.setRunners(opts.service.runners)
  }

  reserve({ exclude, idempotent }: Parameters<Router['reserve']>[0]): Reservation | undefined {
    if (this.#isClosing) return undefined
    const now = this.opts.clock.now()
    const open = [...this.#runners.values()].filter(
      each => !this.#zonesOut.has(each.runner.zone) && !exclude?.has(each.runner.id),
    )
    const trial = idempotent ? open.find(each => each.canTry(now)) : undefined
    if (trial) {
      trial.hasTrial = true
      return this.#take(trial, true)
    }
    const { slots } = this.opts.service
    const withRoom = open.filter(each => each.free(slots, now) > 0)
    const near = withRoom.filter(each => each.runner.zone === this.opts.zone)
    const chosen = this.#choose(near.length > 0 ? near : withRoom)
    return chosen && this.#take(chosen, false)
  }

  /** The less loaded of two random ones; always taking the least loaded makes entry hosts herd. */
  #choose(from: RoutedRunner[]): RoutedRunner | undefined {
    if (from.length < 2) return from[0]
    const first = Math.floor(this.opts.rng() * from.length)
    const other = Math.floor(this.opts.rng() * (from.length - 1))
    const a = from[first]
    const b = from[other >= first ? other + 1 : other]
    return a && b && b.load < a.load ? b : a
  }

  #take(routed: RoutedRunner, isTrial: boolean): Reservation {
    routed.inFlight++
    let isReleased = false
    let isReported = false
    return {
      runner: routed.runner,
      links: routed.links,
      isTrial,
      report: (result, latencyMs) => {
        if (isReported) return
        isReported = true
        if (isTrial) this.#finishTrial(routed, result, latencyMs)
        else this.#record(routed, result, latencyMs)
      },
      release: () => {
        if (isReleased) return
        isReleased = true
        routed.inFlight--
        if (isTrial && !isReported) this.#finishTrial(routed, 'neutral', 0)
        this.#notifyFree()
      },
    }
  }

  #record(routed: RoutedRunner, result: AttemptResult, latencyMs: number): void {
    if (result === 'neutral') return
    routed.failures = result === 'ok' ? 0 : routed.failures + 1
    if (result === 'ok') routed.latencies.add(latencyMs)
    if (routed.failures >= ejectFailures) this.#eject(routed, { failures: routed.failures })
    const now = this.opts.clock.now()
    if (now < this.#latencyCheckAt) return
    this.#latencyCheckAt = now + latencyCheckMs
    this.#checkLatencies()
  }

  #poolMedian(): number | undefined {
    const serving = [...this.#runners.values()].filter(each => !each.isEjected)
    return median(serving.map(each => each.latencies.median()).filter(ms => ms !== undefined))
  }

  #checkLatencies(): void {
    const pool = this.#poolMedian()
    if (pool === undefined) return
    for (const routed of this.#runners.values()) {
      const ms = routed.latencies.median()
      if (ms === undefined || !isSlow(ms, pool)) continue
      this.#eject(routed, { medianMs: ms, poolMedianMs: pool })
    }
  }

  #eject(routed: RoutedRunner, observed: Record<string, number>): void {
    if (routed.isEjected || routed.isRemoved) return
    const ejected = [...this.#runners.values()].filter(each => each.isEjected).length
    const cap = Math.floor(this.#runners.size / 3)
    const seen = { ...observed, ejected, cap }
    routed.failures = 0
    if (ejected >= cap) {
      this.#decide('not-ejected', routed, seen)
      return
    }
    routed.isEjected = true
    routed.trialAt = this.opts.clock.now() + trialPauseMs
    this.#decide('ejected', routed, seen)
  }

  #finishTrial(routed: RoutedRunner, result: AttemptResult, latencyMs: number): void {
    const now = this.opts.clock.now()
    routed.hasTrial = false
    const pool = this.#poolMedian()
    if (result !== 'ok' || (pool !== undefined && isSlow(latencyMs, pool))) {
      routed.trialAt = now + trialPauseMs
      return
    }
    routed.isEjected = false
    routed.failures = 0
    routed.latencies.clear()
    routed.reinstatedAt = now
    this.#decide('reinstated', routed, { trials: 1 })
    this.#notifyFree()
  }

  #decide(
    kind: RoutingDecision['kind'],
    { runner }: RoutedRunner,
    observed: RoutingDecision['observed'],
  ): void {
    this.opts.onDecision?.({ kind, runner: runner.id, observed })
  }

  #notifyFree(): void {
    for (const cb of this.#freeCallbacks) cb()
  }

  free(): number {
    if (this.#isClosing) return 0
    const now = this.opts.clock.now()
    let total = 0
    for (const each of this.#runners.values()) {
      if (!this.#zonesOut.has(each.runner.zone)) total += each.free(this.opts.service.slots, now)
    }
    return total
  }

  load(): Map<string, number> {
    const loads = [...this.#runners.values()].map(each => [each.runner.id, each.inFlight] as const)
    return new Map(loads.filter(([, inFlight]) => inFlight > 0))
  }

  setRunners(runners: readonly Runner[]): void {
    const wanted = new Map(runners.map(runner => [runner.id, runner]))
    for (const [id, routed] of this.#runners) {
      const next = wanted.get(id)
      if (next && sameRunner(next, routed.runner)) continue
      routed.isRemoved = true
      this.#runners.delete(id)
      this.#trackClose(routed)
    }
    for (const runner of runners) {
      if (!this.#runners.has(runner.id)) this.#runners.set(runner.id, this.#open(runner))
    }
    this.#notifyFree()
  }

  #trackClose(routed: RoutedRunner): void {
    const closed = routed.links.close()
    this.#closing.set(routed, closed)
    void closed.finally(() => this.#closing.delete(routed))
  }

  #open(runner: Runner): RoutedRunner {
    const links = this.opts.createLinks({
      runner: { id: runner.id, address: runner.address },
      connections: this.opts.service.connections,
      clock: this.opts.clock,
      onHealth: health => {
        if (health === 'unreachable') this.#record(routed, 'failed', 0)
        if (health === routed.health) return
        this.#decide('health-changed', routed, { from: routed.health, to: health })
        routed.health = health
        this.#notifyFree()
      },
      onRetired: retired => {
        this.#decide('connections-retired', routed, retired)
      },
    })
    const routed = new RoutedRunner(runner, links)
    routed.isLeaving = this.#leaving.has(runner.host)
    return routed
  }

  setZonesOut(zones: readonly string[]): void {
    this.#zonesOut = new Set(zones)
    this.#notifyFree()
  }

  setPeerLoad(load: ReadonlyMap<string, number>): void {
    for (const [id, routed] of this.#runners) routed.peerLoad = load.get(id) ?? 0
    this.#notifyFree()
  }

  setParts(parts: ReadonlyMap<string, number> | undefined): void {
    for (const [id, routed] of this.#runners) routed.part = parts && (parts.get(id) ?? 0)
  }

  setLeaving(hosts: readonly string[]): void {
    this.#leaving = new Set(hosts)
    for (const routed of this.#runners.values()) {
      routed.isLeaving = this.#leaving.has(routed.runner.host)
    }
    this.#notifyFree()
  }

  setGone(hosts: readonly string[]): void {
    for (const routed of [...this.#runners.values(), ...this.#closing.keys()]) {
      if (hosts.includes(routed.runner.host)) routed.links.confirmGone()
    }
  }

  onFree(cb: () => void): () => void {
    this.#freeCallbacks.add(cb)
    return () => this.#freeCallbacks.delete(cb)
  }

  async close(): Promise<void> {
    this.#isClosing = true
    for (const routed of this.#runners.values()) this.#trackClose(routed)
    await Promise.all(this.#closing.values())
  }
}

function isSlow(ms: number, poolMs: number): boolean {
  return ms > poolMs * ejectLatency && ms - poolMs >= minLatencyGapMs
}

function sameRunner(a: Runner, b: Runner): boolean {
  return a.address === b.address && a.host === b.host && a.zone === b.zone
}
