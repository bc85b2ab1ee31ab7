import type { RunnerDefinition } from '@bulrushbridge/contract'
import { OutlierDetector } from './outlier-detector.js'
import { RoutedRunner } from './routed-runner.js'
import type {
  Reservation,
  ReserveOptions,
  Router,
  RouterOptions,
  RoutingDecision,
} from './types.js'

/**
 * Time after which an overdue trial uses any idempotent request, in milliseconds. Otherwise a
 * runner would stay ejected forever if no request has enough time left for a repetition.
 */
const trialOverdueMs = 10_000

/**
 * Creates the router of one service.
 *
 * @example
 * const router = createRouter({ service, zone, rng, clock, createClient: createUpstreamClient })
 * const reservation = router.reserve({ idempotent: true })
 */
export function createRouter(opts: RouterOptions): Router {
  return new ServiceRouter(opts)
}

class ServiceRouter implements Router {
  readonly #runners = new Map<string, RoutedRunner>()
  readonly #slotFreeCallbacks = new Set<() => void>()
  /** Runners that are being closed, including removed ones, until their last work has ended. */
  readonly #closingRunners = new Map<RoutedRunner, Promise<void>>()
  #zonesOut: ReadonlySet<string> = new Set()
  #leavingHosts: ReadonlySet<string> = new Set()
  #isClosing = false
  readonly #outlierDetector: OutlierDetector

  constructor(private readonly opts: RouterOptions) {
    this.#outlierDetector = new OutlierDetector({
      clock: opts.clock,
      runners: () => this.#runners.values(),
      onDecision: (kind, routed, observed) => {
        this.#reportDecision(kind, routed, observed)
      },
    })
    this.setRunners(opts.service.runners)
  }

  reserve({
    exclude,
    idempotent,
    canBeTrial,
    canExceedSlots,
  }: ReserveOptions): Reservation | undefined {
    if (this.#isClosing) return undefined
    const now = this.opts.clock.now()
    this.#outlierDetector.ejectStalled()
    const candidates = this.#runnersInActiveZones().filter(
      routed => !exclude?.has(routed.runner.id),
    )
    const trialRunner =
      idempotent && canBeTrial !== false
        ? candidates.find(routed => routed.canStartTrial(now))
        : undefined
    if (trialRunner) {
      trialRunner.hasTrialInFlight = true
      return this.#createReservation(trialRunner, true)
    }
    const { slots } = this.opts.service
    const withFreeSlots = candidates.filter(routed => routed.freeSlots(slots, now) > 0)
    const sameZone = withFreeSlots.filter(routed => routed.runner.zone === this.opts.zone)
    const chosen = this.#chooseLessLoaded(sameZone.length > 0 ? sameZone : withFreeSlots)
    if (chosen) return this.#createReservation(chosen, false)
    if (canExceedSlots !== true) return undefined
    const other = this.#chooseLessLoaded(
      candidates.filter(routed => routed.isServing && !routed.isEjected),
    )
    return other && this.#createReservation(other, false)
  }

  isTrialDue(remainingMs: number): boolean {
    const now = this.opts.clock.now()
    return this.#runnersInActiveZones().some(routed => {
      if (!routed.canStartTrial(now)) return false
      if (now - routed.nextTrialAt >= trialOverdueMs) return true
      const limitMs = this.#outlierDetector.trialLimitMs()
      // Half of the time must remain for a repetition at another runner.
      return limitMs === undefined || remainingMs >= 2 * limitMs
    })
  }

  poolMedianMs(): number | undefined {
    return this.#outlierDetector.poolMedianMs()
  }

  /** Runners in zones that have not been taken out. */
  #runnersInActiveZones(): RoutedRunner[] {
    return [...this.#runners.values()].filter(routed => !this.#zonesOut.has(routed.runner.zone))
  }

  /**
   * Chooses the less loaded of two random runners. If the entry hosts always chose the least loaded
   * one, they would all send to the same runner.
   */
  #chooseLessLoaded(candidates: RoutedRunner[]): RoutedRunner | undefined {
    if (candidates.length < 2) return candidates[0]
    const first = Math.floor(this.opts.rng() * candidates.length)
    const other = Math.floor(this.opts.rng() * (candidates.length - 1))
    const a = candidates[first]
    const b = candidates[other >= first ? other + 1 : other]
    return a && b && b.load < a.load ? b : a
  }

  #createReservation(routed: RoutedRunner, isTrial: boolean): Reservation {
    routed.inFlight++
    if (routed.unanswered === 0) routed.lastProgressAt = this.opts.clock.now()
    routed.unanswered++
    const callbacks = new Set<() => void>()
    let isWaitOver = false
    let isReleased = false
    let isReported = false
    const stopWaiting = (hasResponse: boolean): void => {
      if (isWaitOver) return
      isWaitOver = true
      routed.unanswered--
      if (hasResponse) routed.lastResponseAt = routed.lastProgressAt = this.opts.clock.now()
    }
    return {
      runner: routed.runner,
      client: routed.client,
      isTrial,
      trialLimitMs: isTrial ? this.#outlierDetector.trialLimitMs() : undefined,
      responseStarted: () => {
        stopWaiting(true)
      },
      onEjected: cb => {
        if (isReleased) return
        callbacks.add(cb)
        routed.ejectionCallbacks.add(cb)
      },
      report: (result, latencyMs) => {
        if (isReported) return
        isReported = true
        stopWaiting(result === 'ok')
        if (!isTrial) this.#outlierDetector.recordResult(routed, result, latencyMs)
        else if (this.#outlierDetector.finishTrial(routed, result, latencyMs))
          this.#notifySlotFree()
      },
      release: () => {
        if (isReleased) return
        isReleased = true
        routed.inFlight--
        stopWaiting(false)
        for (const cb of callbacks) routed.ejectionCallbacks.delete(cb)
        if (isTrial && !isReported) this.#outlierDetector.finishTrial(routed, 'neutral', 0)
        this.#notifySlotFree()
      },
    }
  }

  #reportDecision(
    kind: RoutingDecision['kind'],
    { runner }: RoutedRunner,
    observed: RoutingDecision['observed'],
  ): void {
    this.opts.onDecision?.({ kind, runner: runner.id, observed })
  }

  #notifySlotFree(): void {
    for (const cb of this.#slotFreeCallbacks) cb()
  }

  freeSlots(): number {
    if (this.#isClosing) return 0
    const now = this.opts.clock.now()
    let total = 0
    for (const routed of this.#runnersInActiveZones())
      total += routed.freeSlots(this.opts.service.slots, now)
    return total
  }

  inFlightByRunner(): Map<string, number> {
    const loads = [...this.#runners.values()].map(
      routed => [routed.runner.id, routed.inFlight] as const,
    )
    return new Map(loads.filter(([, inFlight]) => inFlight > 0))
  }

  setRunners(runners: readonly RunnerDefinition[]): void {
    const wantedRunners = new Map(runners.map(runner => [runner.id, runner]))
    for (const [id, routed] of this.#runners) {
      const next = wantedRunners.get(id)
      if (next && isSameRunner(next, routed.runner)) continue
      routed.isRemoved = true
      this.#runners.delete(id)
      this.#closeRunner(routed)
    }
    for (const runner of runners) {
      if (!this.#runners.has(runner.id))
        this.#runners.set(runner.id, this.#createRoutedRunner(runner))
    }
    this.#notifySlotFree()
  }

  #closeRunner(routed: RoutedRunner): void {
    const closed = routed.client.close()
    this.#closingRunners.set(routed, closed)
    void closed.finally(() => this.#closingRunners.delete(routed))
  }

  #createRoutedRunner(runner: RunnerDefinition): RoutedRunner {
    const client = this.opts.createClient({
      runner: { id: runner.id, address: runner.address },
      connections: this.opts.service.connections,
      clock: this.opts.clock,
      onHealthCheck: health => {
        if (health === 'unreachable') this.#outlierDetector.recordResult(routed, 'failed', 0)
        if (health === routed.health) return
        this.#reportDecision('health-changed', routed, { from: routed.health, to: health })
        routed.health = health
        this.#notifySlotFree()
      },
      onConnectionsRetired: retired => {
        this.#reportDecision('connections-retired', routed, retired)
      },
    })
    const routed = new RoutedRunner(runner, client)
    routed.isLeaving = this.#leavingHosts.has(runner.host)
    return routed
  }

  setZonesOut(zones: readonly string[]): void {
    const now = this.opts.clock.now()
    const previous = this.#zonesOut
    this.#zonesOut = new Set(zones)
    for (const routed of this.#runners.values()) {
      const { zone } = routed.runner
      // Runners of a zone that is back in service begin with a slow start, because they may be
      // cold.
      if (previous.has(zone) && !this.#zonesOut.has(zone)) routed.reinstatedAt = now
    }
    this.#notifySlotFree()
  }

  setPeerLoad(load: ReadonlyMap<string, number>): void {
    for (const [id, routed] of this.#runners) routed.peerLoad = load.get(id) ?? 0
    this.#notifySlotFree()
  }

  setRunnerQuotas(quotas: ReadonlyMap<string, number> | undefined): void {
    for (const [id, routed] of this.#runners) routed.quota = quotas && (quotas.get(id) ?? 0)
  }

  setLeavingHosts(hosts: readonly string[]): void {
    this.#leavingHosts = new Set(hosts)
    for (const routed of this.#runners.values()) {
      routed.isLeaving = this.#leavingHosts.has(routed.runner.host)
    }
    this.#notifySlotFree()
  }

  setUnlistedHosts(hosts: readonly string[]): void {
    for (const routed of [...this.#runners.values(), ...this.#closingRunners.keys()]) {
      if (hosts.includes(routed.runner.host)) routed.client.markHostUnlisted()
    }
  }

  onSlotFree(cb: () => void): () => void {
    this.#slotFreeCallbacks.add(cb)
    return () => this.#slotFreeCallbacks.delete(cb)
  }

  async close(): Promise<void> {
    this.#isClosing = true
    for (const routed of this.#runners.values()) this.#closeRunner(routed)
    await Promise.all(this.#closingRunners.values())
  }
}

function isSameRunner(a: RunnerDefinition, b: RunnerDefinition): boolean {
  return a.address === b.address && a.host === b.host && a.zone === b.zone
}
