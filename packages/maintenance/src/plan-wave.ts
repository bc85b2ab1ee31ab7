import {
  poolMargin,
  servingByZone,
  withHostDraining,
  type Fleet,
  type FleetHost,
} from '@bulrushbridge/host-pools'
import { checkDrain } from './check-drain.js'

/** One day, in milliseconds. */
export const dayMs = 86_400_000

/** Default period in which every host is maintained once. */
export const defaultPeriodMs = 42 * dayMs

/**
 * Hosts whose deadlines are in the same span are equally urgent. Within a span the planner is free
 * to choose the hosts with which the wave becomes largest.
 */
const urgencySpanMs = 7 * dayMs

/** Input of {@link planMaintenanceWave}. */
export interface MaintenanceWaveOptions {
  fleet: Fleet
  now: number
  periodMs?: number
  /** Start of the current round. Hosts maintained since then are finished in this round. */
  roundStartedAt: number
  /** Most hosts of the fleet out of service for maintenance at once. Unlimited when absent. */
  maxHosts?: number
}

/** A planned maintenance wave. */
export interface MaintenanceWave {
  /** Hosts that start their drain now. */
  hosts: string[]
  /** Hosts past their deadline that a budget, `maxHosts` or a zone outage keeps in service. */
  overdue: string[]
}

/** Time by which a host must be maintained again. */
export function maintenanceDeadline(host: FleetHost, periodMs = defaultPeriodMs): number {
  return host.maintainedAt + periodMs
}

/**
 * Plans which hosts start their drain for maintenance now. The most urgent hosts come first, in
 * spans of a week. Within a span, hosts of the zone with most serving hosts of the pool come first:
 * taking one out also reduces the worst zone loss, so it uses no margin. Next come hosts of the
 * rack with fewest hosts out of service, so that a rack failure adds few further losses. Hosts
 * already out of service count as absent, so the plan may be repeated whenever a host returns.
 *
 * @example
 * const { hosts } = planMaintenanceWave({ fleet, now, roundStartedAt })
 */
export function planMaintenanceWave(opts: MaintenanceWaveOptions): MaintenanceWave {
  const periodMs = opts.periodMs ?? defaultPeriodMs
  const hosts: string[] = []
  let fleet = opts.fleet
  let freePlaces = (opts.maxHosts ?? Number.POSITIVE_INFINITY) - countHostsInMaintenance(fleet)
  let candidates = fleet.hosts.filter(host => host.maintainedAt < opts.roundStartedAt)
  while (freePlaces >= 1) {
    candidates = candidates.filter(host => checkDrain(fleet, host).isAllowed)
    const host = selectNextHost(candidates, fleet, periodMs, opts.now)
    if (host === undefined) break
    hosts.push(host.id)
    fleet = withHostDraining(fleet, host.id)
    candidates = candidates.filter(other => other !== host)
    freePlaces--
  }
  const overdue = fleet.hosts
    .filter(host => host.state === 'serving' && maintenanceDeadline(host, periodMs) < opts.now)
    .map(({ id }) => id)
  return { hosts, overdue }
}

/** Number of hosts that are draining or in maintenance. */
function countHostsInMaintenance(fleet: Fleet): number {
  return fleet.hosts.filter(({ state }) => state === 'draining' || state === 'maintenance').length
}

/** Selects the candidate that starts its drain next, in the order of {@link planMaintenanceWave}. */
function selectNextHost(
  candidates: readonly FleetHost[],
  fleet: Fleet,
  periodMs: number,
  now: number,
): FleetHost | undefined {
  const urgencySpan = (host: FleetHost) =>
    Math.max(0, Math.floor((maintenanceDeadline(host, periodMs) - now) / urgencySpanMs))
  const absentInRack = new Map<string, number>()
  for (const { rack, state } of fleet.hosts) {
    if (state !== 'serving') absentInRack.set(rack, (absentInRack.get(rack) ?? 0) + 1)
  }
  const servingByPool = new Map(
    [...new Set(candidates.map(({ pool }) => pool))].map(pool => [
      pool,
      servingByZone(fleet, pool),
    ]),
  )
  const ranked = candidates.map(host => ({
    host,
    rank: [
      urgencySpan(host),
      -(servingByPool.get(host.pool)?.get(host.zone) ?? 0),
      absentInRack.get(host.rack) ?? 0,
      maintenanceDeadline(host, periodMs),
    ],
  }))
  return ranked.sort((a, b) => compareRanks(a.rank, b.rank) || (a.host.id < b.host.id ? -1 : 1))[0]
    ?.host
}

/** Compares two ranks by their first element that differs. */
function compareRanks(a: readonly number[], b: readonly number[]): number {
  for (const [i, value] of a.entries()) {
    const difference = value - (b[i] ?? 0)
    if (difference !== 0) return difference
  }
  return 0
}

/**
 * Hosts that each pool has beyond its tightest availability budget should the worst zones fail. The
 * margin is negative when a budget is not met.
 */
export function marginsByPool(fleet: Fleet): Map<string, number> {
  const pools = new Set(fleet.budgets.map(({ pool }) => pool))
  return new Map([...pools].map(pool => [pool, poolMargin(fleet, pool)]))
}
