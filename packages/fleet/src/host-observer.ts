import type { Clock } from '@bulrushbridge/errors'
import { hostUnlistedAfterMs, type PlatformHost } from '@bulrushbridge/host'
import type { HostHealth, HostProbe, ProbedHost } from './host-probe.js'
import { isOrderInEffect, type HostView } from './host-steps.js'
import type { FleetHostRow } from './rows.js'

/**
 * Time for which a draining host must have been without work, in milliseconds. Entry hosts that
 * have not yet read the drain may still send it requests for less than 3 s (design page, 1.1).
 */
const requiredEmptyMs = 3_000

/** Time for which a rebooted host may be unhealthy before it counts as failed, in milliseconds. */
const unhealthyGraceMs = 10_000

/** Time for which a failed host must be healthy before it may open again, in milliseconds. */
const requiredRecoveryMs = 30_000

/** Options of {@link HostObserver}. */
export interface HostObserverOptions {
  clock: Clock
  probe: HostProbe
}

/** What was observed of one host; times are in monotonic milliseconds. */
interface HostObservation {
  /** When the host list last named the host, or when the observation began. */
  lastListedAt: number
  /** Since when no work runs on a draining host. */
  emptySince?: number | undefined
  /** Last result of the health check, and since when it has been the same. */
  health?: { result: HostHealth; since: number } | undefined
  /** Generation of the last order that the platform accepted from this lease holder. */
  acceptedGeneration: number
}

/**
 * Observes the hosts for one lease holder of the duty, on its monotonic clock. The observations are
 * not stored: the next lease holder starts without them, which only delays steps.
 */
export class HostObserver {
  readonly #opts: HostObserverOptions
  readonly #observations = new Map<string, HostObservation>()
  #listed = new Map<string, PlatformHost>()

  constructor(opts: HostObserverOptions) {
    this.#opts = opts
  }

  /** Replaces the platform's host list by that of this round. */
  updateList(listedHosts: readonly PlatformHost[], rows: readonly FleetHostRow[]): void {
    const now = this.#opts.clock.now()
    this.#listed = new Map(listedHosts.map(host => [host.id, host]))
    // A host that was not listed yet in this term counts as last listed when its row was first
    // seen.
    for (const { id } of rows) if (!this.#observations.has(id)) this.#getObservation(id)
    for (const { id } of listedHosts) this.#getObservation(id).lastListedAt = now
  }

  /** Returns the host's entry in the host list; undefined if it has none. */
  findListed(id: string): PlatformHost | undefined {
    return this.#listed.get(id)
  }

  /** All hosts of the host list. */
  hosts(): PlatformHost[] {
    return [...this.#listed.values()]
  }

  /** Whether the host has been absent from the host list for so long that it counts as failed. */
  isMissing(id: string): boolean {
    if (this.#listed.has(id)) return false
    return this.#opts.clock.now() - this.#getObservation(id).lastListedAt > hostUnlistedAfterMs
  }

  /** Records that the platform has accepted the row's order. */
  recordAccepted(row: FleetHostRow): void {
    this.#getObservation(row.id).acceptedGeneration = row.generation
  }

  /** Whether the platform has accepted the row's order from this lease holder. */
  isAccepted(row: FleetHostRow): boolean {
    return this.#getObservation(row.id).acceptedGeneration >= row.generation
  }

  /**
   * Probes a host that is not serving: a draining host for its work, a rebooted or failed host for
   * its health. `hasTasks` says whether the task table has tasks of the host.
   */
  async observe(row: FleetHostRow, host: ProbedHost, hasTasks: boolean): Promise<void> {
    const observation = this.#getObservation(row.id)
    const listed = this.#listed.get(row.id)
    const canCheckWork =
      row.state === 'draining' && this.isAccepted(row) && isOrderInEffect(row, listed)
    const isEmpty = canCheckWork && !hasTasks && (await this.#opts.probe.isEmpty(host))
    const now = this.#opts.clock.now()
    observation.emptySince = isEmpty ? (observation.emptySince ?? now) : undefined
    const hasRebooted = row.state === 'maintenance' && isOrderInEffect(row, listed)
    if (!hasRebooted && (row.state !== 'failed' || listed === undefined))
      observation.health = undefined
    else await this.checkHealth(row.id, host)
  }

  /** Checks the health of a host and records since when the result has been the same. */
  async checkHealth(id: string, host: ProbedHost): Promise<HostHealth> {
    const observation = this.#getObservation(id)
    const isReportedUnhealthy = this.#listed.get(id)?.healthy === false
    const result = isReportedUnhealthy ? 'unhealthy' : await this.#opts.probe.checkHealth(host)
    if (observation.health?.result !== result)
      observation.health = { result, since: this.#opts.clock.now() }
    return result
  }

  /** Returns what is observed of a host, for the plan of its next step. */
  describeHost(row: FleetHostRow): Pick<HostView, 'listed' | 'isAccepted' | 'isEmpty' | 'health'> {
    const now = this.#opts.clock.now()
    const { emptySince } = this.#getObservation(row.id)
    return {
      listed: this.#listed.get(row.id),
      isAccepted: this.isAccepted(row),
      isEmpty: emptySince !== undefined && now - emptySince >= requiredEmptyMs,
      health: this.#assessHealth(row, now),
    }
  }

  /** Returns the health once it has lasted for the required time. */
  #assessHealth(row: FleetHostRow, now: number): HostView['health'] {
    const { health } = this.#getObservation(row.id)
    if (health === undefined || health.result === 'silent') return undefined
    if (this.#listed.get(row.id)?.healthy === false) return 'unhealthy'
    const requiredMs =
      health.result === 'unhealthy'
        ? unhealthyGraceMs
        : row.state === 'failed'
          ? requiredRecoveryMs
          : 0
    return now - health.since >= requiredMs ? health.result : undefined
  }

  /** Returns the observation of a host; creates it if there is none. */
  #getObservation(id: string): HostObservation {
    let observation = this.#observations.get(id)
    if (observation === undefined) {
      observation = { lastListedAt: this.#opts.clock.now(), acceptedGeneration: 0 }
      this.#observations.set(id, observation)
    }
    return observation
  }
}
