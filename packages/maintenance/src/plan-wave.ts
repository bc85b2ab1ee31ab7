import {
  poolMargin,
  servingByZone,
  withoutHost,
  type Fleet,
  type FleetHost,
} from '@bulrushbridge/host-pools'
import { mayLeave } from './may-leave.js'

export const dayMs = 86_400_000

/** Period in which every host is maintained once. */
export const defaultPeriodMs = 42 * dayMs

/** Hosts whose deadlines lie within the same span count as equally urgent, so waves can be packed. */
const urgencySpanMs = 7 * dayMs

/** Input of {@link planWave}. */
export interface WaveOptions {
  fleet: Fleet
  now: number
  periodMs?: number
  /** Hosts maintained since this time are finished in the current round. */
  roundStartedAt: number
  /** Most hosts out at once, over the fleet; unlimited when absent. */
  maxHosts?: number
}

/** A planned wave. */
export interface Wave {
  hosts: string[]
  /** Hosts past their deadline that the budget keeps in service. */
  overdue: string[]
}

/** Time by which a host must have been maintained again. */
export function maintenanceDeadline(host: FleetHost, periodMs = defaultPeriodMs): number {
  return host.maintainedAt + periodMs
}

/**
 * Plans the hosts that leave now. Urgency comes first, in spans of a week. Within a span the host
 * comes from the pool's largest zone, because that also makes the worst loss smaller and so uses no
 * margin, and then from the rack with fewest hosts away, so that a rack failure adds little.
 * Hosts already away count as absent, so the plan may be repeated whenever a host returns.
 *
 * @example
 * const { hosts } = planWave({ fleet, now, roundStartedAt })
 */
export function planWave(opts: WaveOptions): Wave {
  const period = opts.periodMs ?? defaultPeriodMs
  const hosts: string[] = []
  let fleet = opts.fleet
  let room = (opts.maxHosts ?? Number.POSITIVE_INFINITY) - countAway(fleet)
  let candidates = fleet.hosts.filter(host => host.maintainedAt < opts.roundStartedAt)
  while (room >= 1) {
    candidates = candidates.filter(host => mayLeave(fleet, host).leave)
    const host = mostSuitable(candidates, fleet, period, opts.now)
    if (host === undefined) break
    hosts.push(host.id)
    fleet = withoutHost(fleet, host.id)
    candidates = candidates.filter(other => other !== host)
    room--
  }
  const overdue = fleet.hosts
    .filter(host => host.state === 'serving' && maintenanceDeadline(host, period) < opts.now)
    .map(({ id }) => id)
  return { hosts, overdue }
}

function countAway(fleet: Fleet): number {
  return fleet.hosts.filter(({ state }) => state === 'draining' || state === 'maintenance').length
}

function mostSuitable(
  candidates: readonly FleetHost[],
  fleet: Fleet,
  periodMs: number,
  now: number,
): FleetHost | undefined {
  const span = (host: FleetHost) =>
    Math.max(0, Math.floor((maintenanceDeadline(host, periodMs) - now) / urgencySpanMs))
  const awayInRack = new Map<string, number>()
  for (const { rack, state } of fleet.hosts) {
    if (state !== 'serving') awayInRack.set(rack, (awayInRack.get(rack) ?? 0) + 1)
  }
  const zones = new Map(
    [...new Set(candidates.map(({ pool }) => pool))].map(p => [p, servingByZone(fleet, p)]),
  )
  const ranked = candidates.map(host => ({
    host,
    rank: [
      span(host),
      -(zones.get(host.pool)?.get(host.zone) ?? 0),
      awayInRack.get(host.rack) ?? 0,
      maintenanceDeadline(host, periodMs),
    ],
  }))
  return ranked.sort((a, b) => compare(a.rank, b.rank) || (a.host.id < b.host.id ? -1 : 1))[0]?.host
}

function compare(a: readonly number[], b: readonly number[]): number {
  for (const [i, value] of a.entries()) {
    const difference = value - (b[i] ?? 0)
    if (difference !== 0) return difference
  }
  return 0
}

/** Hosts of each pool that could be away at once now; a measure of how tight the budget is. */
export function freeMargins(fleet: Fleet): Map<string, number> {
  const pools = new Set(fleet.budgets.map(({ pool }) => pool))
  return new Map([...pools].map(pool => [pool, poolMargin(fleet, pool)]))
}
