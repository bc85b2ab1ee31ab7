import type { Clock } from '@bulrushbridge/errors'
import type { HostListClient } from '@bulrushbridge/host'
import type { Fleet } from '@bulrushbridge/host-pools'
import type { HeldLease, TableService } from '@bulrushbridge/store'
import {
  toFleetConfiguration,
  buildFleet,
  findRunnerAddresses,
  type FleetConfiguration,
  type FleetConfigurationSource,
} from './fleet-configuration.js'
import { FleetRows } from './fleet-rows.js'
import { HostObserver } from './host-observer.js'
import type { HostProbe, ProbedHost } from './host-probe.js'
import type { FleetHostRow } from './rows.js'

/** Timeout of one call to the platform, in milliseconds. */
export const platformCallTimeoutMs = 1_000

/** A decision of the duty, as it is recorded in the decision log. */
export interface FleetDecision {
  subject: { kind: 'host' | 'wave' | 'zone'; id: string }
  rule: string
  observed: Record<string, unknown>
  action: string
}

/** Options of the fleet duty. */
export interface FleetDutyOptions {
  table: TableService
  /** Returns the lease of the duty `fleet`, or undefined if this process does not hold it. */
  held: () => HeldLease | undefined
  /** Monotonic clock in milliseconds. */
  clock: Clock
  /** Wall clock in milliseconds, for the times in rows. Defaults to `Date.now`. */
  wallClock?: () => number
  platform: HostListClient
  probe: HostProbe
  /** Returns the newest committed configuration. */
  configuration: () => FleetConfigurationSource
  /** Monotonic time until which the configuration is confirmed; after it nothing is decided. */
  confirmedUntil: () => number
  onDecision?: (decision: FleetDecision) => void
  /** Called with the error of each order that could not be sent. */
  onError?: (err: unknown) => void
}

/** State that the parts of a round share during one term of the duty. */
export class FleetTerm {
  readonly opts: FleetDutyOptions
  readonly rows: FleetRows
  readonly observer: HostObserver
  cfg: FleetConfiguration

  constructor(opts: FleetDutyOptions) {
    this.opts = opts
    this.rows = new FleetRows(opts)
    this.observer = new HostObserver(opts)
    this.cfg = toFleetConfiguration(opts.configuration())
  }

  /**
   * Reads the configuration, the platform's host list and the rows for one round.
   *
   * @throws HostListError when the host list cannot be read; StoreError when the rows cannot be
   * read.
   */
  async load(): Promise<void> {
    const { platform, clock, configuration } = this.opts
    this.cfg = toFleetConfiguration(configuration())
    const listed = await platform.list(clock.now() + platformCallTimeoutMs)
    await this.rows.load()
    this.observer.updateList(listed, this.rows.hosts())
  }

  /** Returns the wall-clock time in milliseconds. */
  wallNow(): number {
    return (this.opts.wallClock ?? Date.now)()
  }

  /** Builds the fleet from the rows, including the writes of this round, and the host list. */
  currentFleet(): Fleet {
    return buildFleet(this.cfg, this.rows.hosts(), id => this.observer.findListed(id))
  }

  /** Whether the configuration is still confirmed; the writes of a round may outlast it. */
  canDecide(): boolean {
    return this.opts.clock.now() < this.opts.confirmedUntil()
  }

  /** Returns the addresses at which the probe reaches the host and its runners. */
  toProbedHost({ id, address }: FleetHostRow): ProbedHost {
    return { address, runners: findRunnerAddresses(this.cfg, id) }
  }

  /** Passes a decision about a host, wave or zone to the decision log. */
  recordDecision(
    kind: FleetDecision['subject']['kind'],
    id: string,
    decision: { rule: string; action: string; observed?: Record<string, unknown> },
  ): void {
    const { rule, action, observed = {} } = decision
    this.opts.onDecision?.({ subject: { kind, id }, rule, observed, action })
  }
}
