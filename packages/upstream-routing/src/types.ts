import type { Runner, Service } from '@bulrushbridge/contract'
import type { Clock } from '@bulrushbridge/errors'
import type { RunnerLinks, RunnerClientOptions } from '@bulrushbridge/upstream-link'
import type { AttemptResult } from './ejections.js'

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
  createLinks: (opts: RunnerClientOptions) => RunnerLinks
  onDecision?: ((decision: RoutingDecision) => void) | undefined
}

/** A slot of one runner. */
export interface Reservation {
  readonly runner: Runner
  readonly links: RunnerLinks
  /** True for the trial of an ejected runner, which must not carry a non-idempotent request. */
  readonly isTrial: boolean
  /** Time after which a trial is better repeated elsewhere, in milliseconds. */
  readonly trialLimitMs: number | undefined
  /** Tells that the answer has begun. */
  answered(): void
  /** Calls back when the runner is ejected before the slot is released. */
  onEjected(cb: () => void): void
  /** Reports an attempt that took `latencyMs`; at most once. */
  report(result: AttemptResult, latencyMs: number): void
  /** Gives the slot back; later calls do nothing. */
  release(): void
}

/** What a reservation is for. */
export interface ReserveOptions {
  exclude?: ReadonlySet<string>
  /** Trials take idempotent requests only. */
  idempotent: boolean
  /** Whether the request may be a trial; true unless given. */
  trial?: boolean
  /** Takes a runner without a free slot when there is no other: the repetition of a started request. */
  overfill?: boolean
}

/** Choice between the runners of one service. */
export interface Router {
  /** Takes a slot, or returns undefined when no runner has one. */
  reserve(opts: ReserveOptions): Reservation | undefined
  /** Whether a trial is due for which a request with this much time left would do. */
  isTrialDue(leftMs: number): boolean
  /** Median latency of the runners in service, in milliseconds. */
  medianMs(): number | undefined
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
