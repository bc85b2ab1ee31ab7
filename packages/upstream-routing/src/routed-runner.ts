import type { Runner } from '@bulrushbridge/contract'
import type { HealthCheckResult, RunnerLinks } from '@bulrushbridge/upstream-link'
import { LatencyWindow } from './latency-window.js'

/** Time of the slow start after a reinstatement, in milliseconds. */
const slowStartMs = 10_000

/** State of one runner in the router. */
export class RoutedRunner {
  health: HealthCheckResult = 'ok'
  inFlight = 0
  /** In flight from the peers' last reports. */
  peerLoad = 0
  /** Slots of this entry host's own in a full pool; undefined while the pool has free slots. */
  part: number | undefined
  /** Requests in flight whose answer has not begun. */
  unanswered = 0
  /** When an answer last began, or when the first of the unanswered requests was sent. */
  progressAt = 0
  /** When an answer last began. */
  answeredAt = -Infinity
  failures = 0
  isLeaving = false
  isRemoved = false
  /** Ejected until a trial request succeeds. */
  isEjected = false
  hasTrial = false
  /** No trial starts before. */
  trialAt = 0
  /** Trials in a row that failed. */
  failedTrials = 0
  /** Called when it is ejected, for the requests in flight. */
  readonly ejectionCallbacks = new Set<() => void>()
  reinstatedAt = -Infinity
  readonly latencies = new LatencyWindow()

  constructor(
    readonly runner: Runner,
    readonly links: RunnerLinks,
  ) {}

  /** Slots this entry host may use at `now`. */
  allowed(slots: number, now: number): number {
    const age = now - this.reinstatedAt
    const own = age < slowStartMs ? Math.max(1, Math.floor((slots * age) / slowStartMs)) : slots
    return Math.max(0, Math.min(own, this.part ?? slots - this.peerLoad))
  }

  /** Free slots for ordinary requests; 0 for a runner that takes none. */
  free(slots: number, now: number): number {
    if (this.isEjected || !this.isServing) return 0
    return Math.max(0, this.allowed(slots, now) - this.inFlight)
  }

  /** True when its health and the host list allow new work. */
  get isServing(): boolean {
    return this.health !== 'shutting-down' && !this.isLeaving && !this.isRemoved
  }

  /** True when one trial request may be sent. */
  canTry(now: number): boolean {
    if (!this.isEjected || this.hasTrial || this.inFlight > 0) return false
    return this.isServing && this.health === 'ok' && now >= this.trialAt
  }

  /** Load as compared between two runners. */
  get load(): number {
    return this.inFlight + this.peerLoad
  }
}
