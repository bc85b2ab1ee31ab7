import type { RunnerDefinition } from '@bulrushbridge/contract'
import type { HealthCheckResult, UpstreamClient } from '@bulrushbridge/upstream-link'
import { LatencyWindow } from './latency-window.js'

/** Duration of the slow start after a reinstatement, in milliseconds. */
const slowStartMs = 10_000

/** One runner with its state in the router. */
export class RoutedRunner {
  health: HealthCheckResult = 'ok'
  /** Requests in flight from this entry host. */
  inFlight = 0
  /** Requests in flight from other entry hosts, by their last reports. */
  peerLoad = 0
  /**
   * Most requests in flight from this entry host in a full pool; undefined in a pool with free
   * slots.
   */
  quota: number | undefined
  /** Requests in flight whose response has not started. */
  unanswered = 0
  /** When a response last started, or when the first of the unanswered requests was sent. */
  lastProgressAt = 0
  /** When a response last started. */
  lastResponseAt = -Infinity
  consecutiveFailures = 0
  isLeaving = false
  isRemoved = false
  /** True from an ejection until a trial request succeeds. */
  isEjected = false
  hasTrialInFlight = false
  /** No trial starts before this time. */
  nextTrialAt = 0
  /** Consecutive failed trials. */
  failedTrials = 0
  /** Called when the runner is ejected; for the requests in flight. */
  readonly ejectionCallbacks = new Set<() => void>()
  /** When the runner was last reinstated, which starts its slow start. */
  reinstatedAt = -Infinity
  readonly latencies = new LatencyWindow()

  constructor(
    readonly runner: RunnerDefinition,
    readonly client: UpstreamClient,
  ) {}

  /** Requests this entry host may have in flight at `now`. */
  requestLimit(slots: number, now: number): number {
    const elapsedMs = now - this.reinstatedAt
    const limit =
      elapsedMs < slowStartMs ? Math.max(1, Math.floor((slots * elapsedMs) / slowStartMs)) : slots
    return Math.max(0, Math.min(limit, this.quota ?? slots - this.peerLoad))
  }

  /** Free slots for requests that are no trials; 0 while the runner takes none. */
  freeSlots(slots: number, now: number): number {
    if (this.isEjected || !this.isServing) return 0
    return Math.max(0, this.requestLimit(slots, now) - this.inFlight)
  }

  /** True when the health of the runner and the host list allow new requests. */
  get isServing(): boolean {
    return this.health !== 'shutting-down' && !this.isLeaving && !this.isRemoved
  }

  /** True when a trial request may be sent. */
  canStartTrial(now: number): boolean {
    if (!this.isEjected || this.hasTrialInFlight || this.inFlight > 0) return false
    return this.isServing && this.health === 'ok' && now >= this.nextTrialAt
  }

  /** Load by which the router compares runners: all requests in flight that it knows of. */
  get load(): number {
    return this.inFlight + this.peerLoad
  }
}
