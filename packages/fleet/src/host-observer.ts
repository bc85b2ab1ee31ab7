import type { Clock } from '@bulrushbridge/errors'
import { hostGoneAfterMs, type PlatformHost } from '@bulrushbridge/host'
import type { Health, HostProbe, ProbedHost } from './host-probe.js'
import { isInEffect, type HostView } from './host-steps.js'
import type { FleetHostRow } from './rows.js'

/**
 * Time for which a draining host must have been empty, in milliseconds. An entry host that has not
 * yet read of the drain may send a request for "seconds", under 3 s (design page, 1.1).
 */
const emptyMs = 3_000

/** Time for which a host may answer unhealthily after its boot, in milliseconds. */
const unhealthyMs = 10_000

/** Time for which a failed host must be healthy before it opens again, in milliseconds. */
const recoveredMs = 30_000

/** Options of {@link HostObserver}. */
export interface HostObserverOptions {
  clock: Clock
  probe: HostProbe
}

interface Seen {
  listedAt: number
  emptySince?: number | undefined
  health?: { is: Health; since: number } | undefined
  /** Highest generation that the platform accepted from this holder. */
  accepted: number
}

/**
 * What one holder of the duty has seen of the hosts, on its monotonic clock. A successor starts
 * anew, which only delays a step.
 */
export class HostObserver {
  readonly #opts: HostObserverOptions
  readonly #seen = new Map<string, Seen>()
  #listed = new Map<string, PlatformHost>()

  constructor(opts: HostObserverOptions) {
    this.#opts = opts
  }

  /** Takes the platform's list of this round. */
  list(hosts: readonly PlatformHost[], rows: readonly FleetHostRow[]): void {
    const now = this.#opts.clock.now()
    this.#listed = new Map(hosts.map(host => [host.id, host]))
    // A host that was never listed in this term counts from the start of the term.
    for (const { id } of rows) if (!this.#seen.has(id)) this.#of(id)
    for (const { id } of hosts) this.#of(id).listedAt = now
  }

  listed(id: string): PlatformHost | undefined {
    return this.#listed.get(id)
  }

  hosts(): PlatformHost[] {
    return [...this.#listed.values()]
  }

  /** Whether the list has not named the host for so long that it counts as failed. */
  isGone(id: string): boolean {
    if (this.#listed.has(id)) return false
    return this.#opts.clock.now() - this.#of(id).listedAt > hostGoneAfterMs
  }

  accepted(row: FleetHostRow): void {
    this.#of(row.id).accepted = row.generation
  }

  isAccepted(row: FleetHostRow): boolean {
    return this.#of(row.id).accepted >= row.generation
  }

  /** Asks a host that waits for its work to end, or for its health. */
  async observe(row: FleetHostRow, host: ProbedHost, hasTasks: boolean): Promise<void> {
    const seen = this.#of(row.id)
    const listed = this.#listed.get(row.id)
    const waits = row.state === 'draining' && this.isAccepted(row) && isInEffect(row, listed)
    const isEmpty = waits && !hasTasks && (await this.#opts.probe.isEmpty(host))
    const now = this.#opts.clock.now()
    seen.emptySince = isEmpty ? (seen.emptySince ?? now) : undefined
    const isBack = row.state === 'maintenance' && isInEffect(row, listed)
    if (!isBack && (row.state !== 'failed' || listed === undefined)) seen.health = undefined
    else await this.health(row.id, host)
  }

  /** Asks a host for its health and remembers since when it has been so. */
  async health(id: string, host: ProbedHost): Promise<Health> {
    const seen = this.#of(id)
    const isSick = this.#listed.get(id)?.healthy === false
    const is = isSick ? 'unhealthy' : await this.#opts.probe.health(host)
    if (seen.health?.is !== is) seen.health = { is, since: this.#opts.clock.now() }
    return is
  }

  view(row: FleetHostRow): Pick<HostView, 'listed' | 'isAccepted' | 'isEmpty' | 'health'> {
    const now = this.#opts.clock.now()
    const { emptySince } = this.#of(row.id)
    return {
      listed: this.#listed.get(row.id),
      isAccepted: this.isAccepted(row),
      isEmpty: emptySince !== undefined && now - emptySince >= emptyMs,
      health: this.#healthOf(row, now),
    }
  }

  #healthOf(row: FleetHostRow, now: number): HostView['health'] {
    const { health } = this.#of(row.id)
    if (health === undefined || health.is === 'silent') return undefined
    if (this.#listed.get(row.id)?.healthy === false) return 'unhealthy'
    const neededMs =
      health.is === 'unhealthy' ? unhealthyMs : row.state === 'failed' ? recoveredMs : 0
    return now - health.since >= neededMs ? health.is : undefined
  }

  #of(id: string): Seen {
    let seen = this.#seen.get(id)
    if (seen === undefined) {
      seen = { listedAt: this.#opts.clock.now(), accepted: 0 }
      this.#seen.set(id, seen)
    }
    return seen
  }
}
