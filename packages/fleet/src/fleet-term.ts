import type { Clock } from '@bulrushbridge/errors'
import type { HostListClient } from '@bulrushbridge/host'
import type { Fleet } from '@bulrushbridge/host-pools'
import type { HeldLease, TableService } from '@bulrushbridge/store'
import {
  fleetConfiguration,
  fleetOf,
  runnersOn,
  type FleetConfiguration,
  type FleetSource,
} from './fleet-configuration.js'
import { FleetRows } from './fleet-rows.js'
import { HostObserver } from './host-observer.js'
import type { HostProbe, ProbedHost } from './host-probe.js'
import type { FleetHostRow } from './rows.js'

/** Longest time of one call to the platform, in milliseconds. */
export const platformCallMs = 1_000

/** A decision of the duty, in the form of the decision log. */
export interface FleetDecision {
  subject: { kind: 'host' | 'wave' | 'zone'; id: string }
  rule: string
  observed: Record<string, unknown>
  action: string
}

/** Options of the fleet duty. */
export interface FleetDutyOptions {
  table: TableService
  /** The lease of the duty `fleet`. */
  held: () => HeldLease | undefined
  clock: Clock
  /** Wall clock in milliseconds, for the times in rows. */
  wallClock?: () => number
  platform: HostListClient
  probe: HostProbe
  configuration: () => FleetSource
  /** Until when the configuration is current; nothing is decided after it. */
  confirmedUntil: () => number
  onDecision?: (decision: FleetDecision) => void
  onError?: (err: unknown) => void
}

/** What the parts of a round share during one term of the duty. */
export class FleetTerm {
  readonly opts: FleetDutyOptions
  readonly rows: FleetRows
  readonly observer: HostObserver
  cfg: FleetConfiguration

  constructor(opts: FleetDutyOptions) {
    this.opts = opts
    this.rows = new FleetRows(opts)
    this.observer = new HostObserver(opts)
    this.cfg = fleetConfiguration(opts.configuration())
  }

  /** Reads the configuration, the platform's list and the rows for one round. */
  async load(): Promise<void> {
    const { platform, clock, configuration } = this.opts
    this.cfg = fleetConfiguration(configuration())
    const listed = await platform.list(clock.now() + platformCallMs)
    await this.rows.load()
    this.observer.list(listed, this.rows.hosts())
  }

  /** Wall-clock milliseconds. */
  now(): number {
    return (this.opts.wallClock ?? Date.now)()
  }

  /** The fleet as the rows and the list show it at this moment of the round. */
  fleet(): Fleet {
    return fleetOf(this.cfg, this.rows.hosts(), id => this.observer.listed(id))
  }

  /** Whether the configuration is still current; writes before may have taken long. */
  mayDecide(): boolean {
    return this.opts.clock.now() < this.opts.confirmedUntil()
  }

  probed({ id, address }: FleetHostRow): ProbedHost {
    return { address, runners: runnersOn(this.cfg, id) }
  }

  decide(
    kind: FleetDecision['subject']['kind'],
    id: string,
    decision: { rule: string; action: string; observed?: Record<string, unknown> },
  ): void {
    const { rule, action, observed = {} } = decision
    this.opts.onDecision?.({ subject: { kind, id }, rule, observed, action })
  }
}
