import type {
  EnvironmentConfiguration,
  PoolDefinition,
  ServiceDefinition,
} from '@bulrushbridge/contract'
import type { PlatformHost } from '@bulrushbridge/host'
import { serviceBudgets, type Fleet, type ServiceBudget } from '@bulrushbridge/host-pools'
import { dayMs, defaultPeriodMs } from '@bulrushbridge/maintenance'
import { z } from 'zod'
import { toFleetHost, type FleetHostRow } from './rows.js'

/** The sections of the environment's configuration that the fleet duty reads. */
export type FleetConfigurationSource = Pick<
  EnvironmentConfiguration,
  'pools' | 'services' | 'queues' | 'zonesOut' | 'maintenance'
>

/** The configuration in the form that the fleet duty uses. */
export interface FleetConfiguration {
  pools: readonly PoolDefinition[]
  services: readonly ServiceDefinition[]
  queues: FleetConfigurationSource['queues']
  /** Zones that operators have taken out of service. */
  zonesOut: ReadonlySet<string>
  /** Availability budgets of the services. */
  budgets: readonly ServiceBudget[]
  /** Pools that lend their hosts to other pools, in the order of their names. */
  sparePools: ReadonlySet<string>
  /** Period in which each host is maintained once, in milliseconds. */
  periodMs: number
}

const maintenanceSchema = z.object({ periodDays: z.number().positive() })

/**
 * Selects what the fleet duty uses of a configuration. Without a valid maintenance period the
 * default period applies.
 */
export function toFleetConfiguration(cfg: FleetConfigurationSource): FleetConfiguration {
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
 * Finds the home pool of a host: the pool of the service that has a runner on it, else the pool
 * that names its rack, else the first spare pool. Returns undefined when the document has none of
 * them.
 */
export function findHomePool(
  cfg: FleetConfiguration,
  host: Pick<PlatformHost, 'id' | 'rack'>,
): string | undefined {
  const service = cfg.services.find(({ runners }) => runners.some(r => r.host === host.id))
  if (service !== undefined) return service.pool
  const pool = cfg.pools.find(({ racks }) => racks?.includes(host.rack) === true)
  return pool?.name ?? [...cfg.sparePools][0]
}

/** Returns the addresses of the runners on a host. */
export function findRunnerAddresses(cfg: FleetConfiguration, host: string): string[] {
  const runners = cfg.services.flatMap(service => service.runners)
  return runners.filter(runner => runner.host === host).map(({ address }) => address)
}

/**
 * Computes the start of the current maintenance round, in wall-clock milliseconds. Periods are
 * counted from the Unix epoch, so that all lease holders of the duty compute the same start.
 */
export function computeRoundStart(cfg: FleetConfiguration, now: number): number {
  return Math.floor(now / cfg.periodMs) * cfg.periodMs
}

/**
 * Builds the fleet on which decisions are based. A host whose row says `serving`, but that the
 * platform does not list as live, counts as absent. Its row changes only after 30 s, and until then
 * no other host may leave in reliance on it.
 */
export function buildFleet(
  cfg: FleetConfiguration,
  rows: readonly FleetHostRow[],
  findListed: (id: string) => PlatformHost | undefined,
): Fleet {
  const hosts = rows.map(row => {
    const host = toFleetHost(row)
    // A joining host is expected to fill a shortage soon. A held host is not: its zone keeps it
    // closed.
    if (row.held === true) return { ...host, state: 'failed' as const }
    const isAbsent = row.state === 'serving' && findListed(row.id)?.state !== 'live'
    return isAbsent ? { ...host, state: 'draining' as const } : host
  })
  return { hosts, budgets: cfg.budgets, zonesOut: cfg.zonesOut }
}

/**
 * Adds budgets for maintenance to the pools that have no service and therefore no availability
 * budget. Half of the hosts of such a pool stay serving; otherwise one wave could take all hosts of
 * a pool of workers out of service.
 */
export function addMaintenanceBudgets(cfg: FleetConfiguration, fleet: Fleet): Fleet {
  const poolsWithBudget = new Set(cfg.budgets.map(({ pool }) => pool))
  const maintenanceBudgets = cfg.pools
    .filter(({ name }) => !poolsWithBudget.has(name))
    .map(({ name }) => {
      const hosts = fleet.hosts.filter(({ pool }) => pool === name)
      const required = Math.floor(hosts.length / 2)
      return { service: `pool ${name}`, pool: name, required, zoneFailures: 0 }
    })
  return { ...fleet, budgets: [...cfg.budgets, ...maintenanceBudgets] }
}
