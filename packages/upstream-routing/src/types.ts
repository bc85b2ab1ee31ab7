import type { RunnerDefinition, ServiceDefinition } from '@bulrushbridge/contract'
import type { Clock } from '@bulrushbridge/errors'
import type { UpstreamClient, UpstreamClientOptions } from '@bulrushbridge/upstream-link'
import type { AttemptResult } from './outlier-detector.js'

/** A decision of the router with the values on which it is based. */
export interface RoutingDecision {
  kind: 'ejected' | 'not-ejected' | 'reinstated' | 'connections-retired' | 'health-changed'
  runner: string
  observed: Record<string, number | string>
}

/** Options of {@link createRouter}. */
export interface RouterOptions {
  service: Pick<ServiceDefinition, 'name' | 'slots' | 'connections' | 'runners'>
  /** Availability zone of this entry host. */
  zone: string
  /** Returns random numbers in [0, 1). */
  rng: () => number
  clock: Clock
  createClient: (opts: UpstreamClientOptions) => UpstreamClient
  onDecision?: ((decision: RoutingDecision) => void) | undefined
}

/** A reserved slot of one runner. */
export interface Reservation {
  readonly runner: RunnerDefinition
  readonly client: UpstreamClient
  /** True for a trial of an ejected runner, for which only idempotent requests may be used. */
  readonly isTrial: boolean
  /** Time after which a trial should be repeated at another runner, in milliseconds. */
  readonly trialLimitMs: number | undefined
  /** Called when the response has started. */
  responseStarted(): void
  /** Registers a callback for the case that the runner is ejected before the slot is released. */
  onEjected(cb: () => void): void
  /** Reports the result of an attempt that took `latencyMs`; later calls do nothing. */
  report(result: AttemptResult, latencyMs: number): void
  /** Releases the slot; later calls do nothing. */
  release(): void
}

/** Options of {@link Router.reserve}. */
export interface ReserveOptions {
  /** Ids of runners that are not to be used. */
  exclude?: ReadonlySet<string>
  /** Whether the request is idempotent; only such a request can be a trial. */
  idempotent: boolean
  /** Whether the request can be a trial; true by default. */
  canBeTrial?: boolean
  /**
   * Allows a runner without a free slot when no other is left, for the repetition of a sent
   * request.
   */
  canExceedSlots?: boolean
}

/** Chooses between the runners of one service. */
export interface Router {
  /** Reserves a slot; returns undefined when no runner has a free one. */
  reserve(opts: ReserveOptions): Reservation | undefined
  /** Whether a trial is due for which a request with this much time left can be used. */
  isTrialDue(remainingMs: number): boolean
  /** Median of the median latencies of the runners that are not ejected, in milliseconds. */
  poolMedianMs(): number | undefined
  /** Number of slots that can be reserved now. */
  freeSlots(): number
  /** Requests in flight from this entry host, by runner id; runners without any are left out. */
  inFlightByRunner(): Map<string, number>
  setRunners(runners: readonly RunnerDefinition[]): void
  setZonesOut(zones: readonly string[]): void
  /**
   * Sets the requests in flight from the other entry hosts, by runner id, as they last reported
   * them.
   */
  setPeerLoad(load: ReadonlyMap<string, number>): void
  /**
   * Sets the requests that this entry host may have in flight at each runner, by runner id. They
   * replace the limit that follows from the last reports of the other entry hosts. Undefined while
   * the pool has slots that no entry host needs.
   */
  setRunnerQuotas(quotas: ReadonlyMap<string, number> | undefined): void
  /**
   * Sets the hosts that are leaving according to the host list; their runners get no new requests.
   */
  setLeavingHosts(hosts: readonly string[]): void
  /** Sets the hosts that the host list no longer contains; nothing runs there any more. */
  setUnlistedHosts(hosts: readonly string[]): void
  /**
   * Registers a callback for when a slot may have become free; the returned function removes it.
   */
  onSlotFree(cb: () => void): () => void
  /** Stops reserving slots and resolves when all connections are closed. */
  close(): Promise<void>
}
