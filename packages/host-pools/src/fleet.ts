import { requiredRunners, type EnvironmentDocument } from '@bulrushbridge/contract'

/**
 * State of a host. Only a `serving` host counts towards an availability budget: a draining host
 * takes no new work, and a host that failed to return is `failed`.
 */
export type HostState = 'serving' | 'draining' | 'maintenance' | 'joining' | 'failed'

/** A host as the fleet decisions see it. Times are milliseconds on one clock. */
export interface FleetHost {
  id: string
  /** The only pool the host belongs to. During a move it is the old pool until the host has drained. */
  pool: string
  zone: string
  rack: string
  state: HostState
  capacity: { cores: number; memoryGb: number }
  maintainedAt: number
}

/** Availability that a service is owed, in hosts with one runner each. */
export interface ServiceBudget {
  service: string
  /** Each host of this pool runs one runner of the service. */
  pool: string
  /** Hosts that must be serving at every instant. */
  required: number
  /** Zones whose loss the service must survive. */
  zoneFailures: number
}

/** Input of the decisions on one fleet. */
export interface Fleet {
  hosts: readonly FleetHost[]
  budgets: readonly ServiceBudget[]
  /** Zones taken out of service. */
  zonesOut: ReadonlySet<string>
}

/**
 * Budgets of a document's services.
 *
 * @example
 * const budgets = budgetsOf(doc)
 */
export function budgetsOf(doc: Pick<EnvironmentDocument, 'services'>): ServiceBudget[] {
  return doc.services.map(service => ({
    service: service.name,
    pool: service.pool,
    required: requiredRunners(service),
    zoneFailures: service.availability.zoneFailures,
  }))
}

/** Serving hosts of a pool per zone, without the zones taken out. */
export function servingByZone(fleet: Fleet, pool: string): Map<string, number> {
  const counts = new Map<string, number>()
  for (const host of fleet.hosts) {
    if (host.pool !== pool || host.state !== 'serving' || fleet.zonesOut.has(host.zone)) continue
    counts.set(host.zone, (counts.get(host.zone) ?? 0) + 1)
  }
  return counts
}

/**
 * Hosts that the budget has to spare should the worst zones go now; negative when it falls short.
 * A zone taken out uses up one of the zone failures that the budget covers.
 */
export function budgetMargin(fleet: Fleet, budget: ServiceBudget): number {
  const counts = [...servingByZone(fleet, budget.pool).values()].sort((a, b) => b - a)
  const losses = Math.max(0, budget.zoneFailures - fleet.zonesOut.size)
  return counts.slice(losses).reduce((sum, count) => sum + count, 0) - budget.required
}

/** Smallest margin over the services of a pool; infinite for a pool without a service. */
export function poolMargin(fleet: Fleet, pool: string): number {
  const margins = fleet.budgets.filter(b => b.pool === pool).map(b => budgetMargin(fleet, b))
  return Math.min(Number.POSITIVE_INFINITY, ...margins)
}

/** The fleet after some hosts changed. */
export function withHosts(fleet: Fleet, change: (host: FleetHost) => FleetHost): Fleet {
  return { ...fleet, hosts: fleet.hosts.map(change) }
}

/** The fleet with one host no longer serving. */
export function withoutHost(fleet: Fleet, id: string): Fleet {
  return withHosts(fleet, host => (host.id === id ? { ...host, state: 'draining' } : host))
}
