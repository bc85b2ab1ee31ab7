import type { Runner } from '@bulrushbridge/contract'
import { Ejections } from './ejections.js'
import { RoutedRunner } from './routed-runner.js'
import type {
  Reservation,
  ReserveOptions,
  Router,
  RouterOptions,
  RoutingDecision,
} from './types.js'

/**
 * Time after which an overdue trial takes any idempotent request, in milliseconds: without a request
 * that can be repeated in time the runner would never return.
 */
const overdueTrialMs = 10_000

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
  #isClosing = false
  readonly #ejections: Ejections

  constructor(private readonly opts: RouterOptions) {
    this.#ejections = new Ejections({
      clock: opts.clock,
      runners: () => this.#runners.values(),
      onDecision: (kind, routed, observed) => {
        this.#decide(kind, routed, observed)
      },
    })
    this.setRunners(opts.service.runners)
  }

  reserve({ exclude, idempotent, trial, overfill }: ReserveOptions): Reservation | undefined {
    if (this.#isClosing) return undefined
    const now = this.opts.clock.now()
    this.#ejections.checkProgress()
    const open = this.#open().filter(each => !exclude?.has(each.runner.id))
    const tried = idempotent && trial !== false ? open.find(each => each.canTry(now)) : undefined
    if (tried) {
      tried.hasTrial = true
      return this.#take(tried, true)
    }
    const { slots } = this.opts.service
    const withRoom = open.filter(each => each.free(slots, now) > 0)
    const near = withRoom.filter(each => each.runner.zone === this.opts.zone)
    const chosen = this.#choose(near.length > 0 ? near : withRoom)
    if (chosen) return this.#take(chosen, false)
    if (overfill !== true) return undefined
    const other = this.#choose(open.filter(each => each.isServing && !each.isEjected))
    return other && this.#take(other, false)
  }

  isTrialDue(leftMs: number): boolean {
    const now = this.opts.clock.now()
    return this.#open().some(each => {
      if (!each.canTry(now)) return false
      if (now - each.trialAt >= overdueTrialMs) return true
      const limitMs = this.#ejections.trialLimitMs()
      // The second half of the time is for the repetition.
      return limitMs === undefined || leftMs >= 2 * limitMs
    })
  }

  medianMs(): number | undefined {
    return this.#ejections.poolMedian()
  }

  /** Runners in zones that are in service. */
  #open(): RoutedRunner[] {
    return [...this.#runners.values()].filter(each => !this.#zonesOut.has(each.runner.zone))
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
    if (routed.unanswered === 0) routed.progressAt = this.opts.clock.now()
    routed.unanswered++
    const callbacks = new Set<() => void>()
    let isAnswered = false
    let isReleased = false
    let isReported = false
    const endWait = (hasAnswer: boolean): void => {
      if (isAnswered) return
      isAnswered = true
      routed.unanswered--
      if (hasAnswer) routed.answeredAt = routed.progressAt = this.opts.clock.now()
    }
    return {
      runner: routed.runner,
      links: routed.links,
      isTrial,
      trialLimitMs: isTrial ? this.#ejections.trialLimitMs() : undefined,
      answered: () => {
        endWait(true)
      },
      onEjected: cb => {
        if (isReleased) return
        callbacks.add(cb)
        routed.ejectionCallbacks.add(cb)
      },
      report: (result, latencyMs) => {
        if (isReported) return
        isReported = true
        endWait(result === 'ok')
        if (!isTrial) this.#ejections.record(routed, result, latencyMs)
        else if (this.#ejections.finishTrial(routed, result, latencyMs)) this.#notifyFree()
      },
      release: () => {
        if (isReleased) return
        isReleased = true
        routed.inFlight--
        endWait(false)
        for (const cb of callbacks) routed.ejectionCallbacks.delete(cb)
        if (isTrial && !isReported) this.#ejections.finishTrial(routed, 'neutral', 0)
        this.#notifyFree()
      },
    }
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
    for (const each of this.#open()) total += each.free(this.opts.service.slots, now)
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
      if (!this.#runners.has(runner.id)) this.#runners.set(runner.id, this.#connect(runner))
    }
    this.#notifyFree()
  }

  #trackClose(routed: RoutedRunner): void {
    const closed = routed.links.close()
    this.#closing.set(routed, closed)
    void closed.finally(() => this.#closing.delete(routed))
  }

  #connect(runner: Runner): RoutedRunner {
    const links = this.opts.createLinks({
      runner: { id: runner.id, address: runner.address },
      connections: this.opts.service.connections,
      clock: this.opts.clock,
      onHealthCheck: health => {
        if (health === 'unreachable') this.#ejections.record(routed, 'failed', 0)
        if (health === routed.health) return
        this.#decide('health-changed', routed, { from: routed.health, to: health })
        routed.health = health
        this.#notifyFree()
      },
      onConnectionsRetired: retired => {
        this.#decide('connections-retired', routed, retired)
      },
    })
    const routed = new RoutedRunner(runner, links)
    routed.isLeaving = this.#leaving.has(runner.host)
    return routed
  }

  setZonesOut(zones: readonly string[]): void {
    const now = this.opts.clock.now()
    const before = this.#zonesOut
    this.#zonesOut = new Set(zones)
    for (const routed of this.#runners.values()) {
      const { zone } = routed.runner
      // Runners of a returned zone may be cold, as after a reinstatement.
      if (before.has(zone) && !this.#zonesOut.has(zone)) routed.reinstatedAt = now
    }
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
      if (hosts.includes(routed.runner.host)) routed.links.markHostGone()
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

function sameRunner(a: Runner, b: Runner): boolean {
  return a.address === b.address && a.host === b.host && a.zone === b.zone
}
