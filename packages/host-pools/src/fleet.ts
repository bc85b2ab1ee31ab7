import { requiredRunners, type EnvironmentDocument } from '@bulrushbridge/contract'

/**
 * State of a host. Only a `serving` host counts towards an availability budget. A draining host
 * takes no new work, and a host that did not return from maintenance is `failed`.
 */
export type HostState = 'serving' | 'draining' | 'maintenance' | 'joining' | 'failed'

/** A host as input of the fleet decisions. Times are in milliseconds and on one clock. */
export interface FleetHost {
  id: string
  /** The only pool of the host. During a move this is the old pool until the host has drained. */
  pool: string
  zone: string
  rack: string
  state: HostState
  capacity: { cores: number; memoryGb: number }
  maintainedAt: number
}

/** Availability budget of a service: the hosts it needs, each with one runner. */
export interface ServiceBudget {
  service: string
  /** Each host of this pool runs one runner of the service. */
  pool: string
  /** Number of hosts that must be serving at any time. */
  required: number
  /** Number of zones whose simultaneous loss the service must survive. */
  zoneFailures: number
}

/** Hosts, budgets and zones on which the fleet decisions are based. */
export interface Fleet {
  hosts: readonly FleetHost[]
  budgets: readonly ServiceBudget[]
  /** Zones taken out of service. */
  zonesOut: ReadonlySet<string>
}

/**
 * Returns the availability budgets of the services in an environment document.
 *
 * @example
 * const budgets = serviceBudgets(doc)
 */
export function serviceBudgets(doc: Pick<EnvironmentDocument, 'services'>): ServiceBudget[] {
  return doc.services.map(service => ({
    service: service.name,
    pool: service.pool,
    required: requiredRunners(service),
    zoneFailures: service.availability.zoneFailures,
  }))
}

/** Number of serving hosts of a pool per zone, without the zones taken out of service. */
export function servingByZone(fleet: Fleet, pool: string): Map<string, number> {
  const counts = new Map<string, number>()
  for (const host of fleet.hosts) {
    if (host.pool !== pool || host.state !== 'serving' || fleet.zonesOut.has(host.zone)) continue
    counts.set(host.zone, (counts.get(host.zone) ?? 0) + 1)
  }
  return counts
}

/**
 * Number of hosts beyond the required ones that would remain if the worst zones failed now.
 * Negative when the budget is not met. A zone taken out of service counts as one of the zone
 * failures that the budget covers.
 */
export function budgetMargin(fleet: Fleet, budget: ServiceBudget): number {
  const counts = [...servingByZone(fleet, budget.pool).values()].sort((a, b) => b - a)
  const losses = Math.max(0, budget.zoneFailures - fleet.zonesOut.size)
  return counts.slice(losses).reduce((sum, count) => sum + count, 0) - budget.required
}

/** Smallest budget margin of a pool's services. Infinite for a pool without services. */
export function poolMargin(fleet: Fleet, pool: string): number {
  const margins = fleet.budgets.filter(b => b.pool === pool).map(b => budgetMargin(fleet, b))
  return Math.min(Number.POSITIVE_INFINITY, ...margins)
}

/** Returns a copy of the fleet in which each host is replaced by the result of `change`. */
export function mapHosts(fleet: Fleet, change: (host: FleetHost) => FleetHost): Fleet {
  return { ...fleet, hosts: fleet.hosts.map(change) }
}

/** Returns a copy of the fleet in which one host is draining and no longer counts as serving. */
export function withHostDraining(fleet: Fleet, id: string): Fleet {
  return mapHosts(fleet, host => (host.id === id ? { ...host, state: 'draining' } : host))
}
