import type {
  EnvironmentConfiguration,
  PoolDefinition,
  ServiceDefinition,
} from '@bulrushbridge/contract'
import type { PlatformHost } from '@bulrushbridge/host'
import { serviceBudgets, type Fleet, type ServiceBudget } from '@bulrushbridge/host-pools'
import { dayMs, defaultPeriodMs } from '@bulrushbridge/maintenance'
import { z } from 'zod'
import { asFleetHost, type FleetHostRow } from './rows.js'

/** What the fleet duty needs of the configuration. */
export type FleetSource = Pick<
  EnvironmentConfiguration,
  'pools' | 'services' | 'queues' | 'zonesOut' | 'maintenance'
>

/** The configuration as the fleet duty uses it. */
export interface FleetConfiguration {
  pools: readonly PoolDefinition[]
  services: readonly ServiceDefinition[]
  queues: FleetSource['queues']
  zonesOut: ReadonlySet<string>
  budgets: readonly ServiceBudget[]
  /** Pools that lend their hosts, in the order of their names. */
  sparePools: ReadonlySet<string>
  periodMs: number
}

const maintenanceSchema = z.object({ periodDays: z.number().positive() })

/** The part of a configuration that concerns hosts. */
export function fleetConfiguration(cfg: FleetSource): FleetConfiguration {
  const pools = Object.values(cfg.pools).sort((a, b) => (a.name < b.name ? -1 : 1))
  const services = Object.values(cfg.services)
  const maintenance = maintenanceSchema.safeParse(cfg.maintenance)
  return {
    pools,
    services,
    queues: cfg.queues,
    zonesOut: new Set(cfg.zonesOut),
    budgets: serviceBudgets({ services }),
    sparePools: new Set(pools.filter(({ spare }) => spare).map(({ name }) => name)),
    periodMs: maintenance.success ? maintenance.data.periodDays * dayMs : defaultPeriodMs,
  }
}

/**
 * Home pool of a host: that of its runner's service, else the pool that names its rack, else the
 * spare pool; undefined when the document has none of them.
 */
export function homePool(
  cfg: FleetConfiguration,
  host: Pick<PlatformHost, 'id' | 'rack'>,
): string | undefined {
  const service = cfg.services.find(({ runners }) => runners.some(r => r.host === host.id))
  if (service !== undefined) return service.pool
  const pool = cfg.pools.find(({ racks }) => racks?.includes(host.rack) === true)
  return pool?.name ?? [...cfg.sparePools][0]
}

/** Addresses of the runners on a host. */
export function runnersOn(cfg: FleetConfiguration, host: string): string[] {
  const runners = cfg.services.flatMap(service => service.runners)
  return runners.filter(runner => runner.host === host).map(({ address }) => address)
}

/** Start of the maintenance round: periods are counted from the epoch, so every holder agrees. */
export function roundStart(cfg: FleetConfiguration, now: number): number {
  return Math.floor(now / cfg.periodMs) * cfg.periodMs
}

/**
 * The fleet as decisions see it. A host that serves by its row, but that the platform does not list
 * as live, counts as absent: the row follows only after 30 s, and no host may leave on its account.
 */
export function fleetOf(
  cfg: FleetConfiguration,
  rows: readonly FleetHostRow[],
  listed: (id: string) => PlatformHost | undefined,
): Fleet {
  const hosts = rows.map(row => {
    const host = asFleetHost(row)
    // A joining host counts as on its way to fill a shortage; one that its zone holds back does not.
    if (row.held === true) return { ...host, state: 'failed' as const }
    const isAbsent = row.state === 'serving' && listed(row.id)?.state !== 'live'
    return isAbsent ? { ...host, state: 'draining' as const } : host
  })
  return { hosts, budgets: cfg.budgets, zonesOut: cfg.zonesOut }
}

/**
 * The fleet for maintenance. A pool without a service is owed nothing, so half of its hosts are kept
 * serving; otherwise one wave would take a whole pool of workers.
 */
export function maintenanceFleet(cfg: FleetConfiguration, fleet: Fleet): Fleet {
  const owed = new Set(cfg.budgets.map(({ pool }) => pool))
  const others = cfg.pools
    .filter(({ name }) => !owed.has(name))
    .map(({ name }) => {
      const hosts = fleet.hosts.filter(({ pool }) => pool === name)
      const required = Math.floor(hosts.length / 2)
      return { service: `pool ${name}`, pool: name, required, zoneFailures: 0 }
    })
  return { ...fleet, budgets: [...cfg.budgets, ...others] }
}
