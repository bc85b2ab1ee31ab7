import { poolMargin, mapHosts, type Fleet, type FleetHost } from '@bulrushbridge/host-pools'
import { planMaintenanceWave } from './plan-wave.js'

/** Input of {@link choosePoolAfterMaintenance}. */
export interface PoolAfterMaintenanceOptions {
  fleet: Fleet
  /** The returning host. It is still in its old pool and not serving. */
  host: FleetHost
  /** Pool to which each host belongs by the environment document. */
  homePools: ReadonlyMap<string, string>
  now: number
  /** Start of the current round. Hosts maintained since then are finished in this round. */
  roundStartedAt: number
  /**
   * Factor by which another pool's gain must exceed that of the old pool; avoids needless moves.
   */
  moveGain?: number
}

/**
 * With 1.25, hosts change pools so often that they are spread unevenly over zones. With 4, pools
 * with little margin wait too long for a host.
 */
const defaultMoveGain = 2

/**
 * Chooses the pool that a host joins after its maintenance. The old pool has met its budget without
 * the host, so the host may join any pool, and the move needs no further drain. The host joins the
 * pool in which it allows a host to be drained that otherwise could not be, and which has the most
 * hosts awaiting maintenance per host out of service. When there is no such pool, the host joins
 * its home pool. A pool that does not meet its budget takes precedence, the old pool before the
 * others.
 *
 * @example
 * const pool = choosePoolAfterMaintenance({ fleet, host, homePools, now, roundStartedAt })
 */
export function choosePoolAfterMaintenance(opts: PoolAfterMaintenanceOptions): string {
  const { fleet, host, homePools } = opts
  if (poolMargin(fleet, host.pool) < 0) return host.pool
  const pools = new Set(fleet.budgets.map(({ pool }) => pool))
  const shortPool = [...pools].find(pool => poolMargin(fleet, pool) < 0)
  if (shortPool !== undefined) return shortPool
  const gains = new Map([...pools].map(pool => [pool, maintenanceGain(opts, pool)]))
  const oldPoolGain = gains.get(host.pool) ?? 0
  const [best, gain] = [...gains].sort((a, b) => b[1] - a[1])[0] ?? [host.pool, 0]
  if (gain === 0) return homePools.get(host.id) ?? host.pool
  return gain > (opts.moveGain ?? defaultMoveGain) * oldPoolGain ? best : host.pool
}

/**
 * Number of hosts of a pool that await maintenance, per host out of service, if the returning host
 * allows one of them to be drained by joining the pool; otherwise 0.
 */
function maintenanceGain(opts: PoolAfterMaintenanceOptions, pool: string): number {
  const { now, roundStartedAt } = opts
  const joined = mapHosts(opts.fleet, h =>
    h.id === opts.host.id ? { ...h, pool, state: 'serving', maintainedAt: now } : h,
  )
  const poolHosts = joined.hosts.filter(h => h.pool === pool)
  const waiting = poolHosts.filter(h => h.state === 'serving' && h.maintainedAt < roundStartedAt)
  const wave = planMaintenanceWave({
    fleet: { ...joined, hosts: poolHosts },
    now,
    roundStartedAt,
  }).hosts
  const hostsBefore = opts.fleet.hosts.filter(h => h.pool === pool)
  const waveBefore = planMaintenanceWave({
    fleet: { ...opts.fleet, hosts: hostsBefore },
    now,
    roundStartedAt,
  }).hosts
  if (wave.length <= waveBefore.length) return 0
  const inMaintenance = poolHosts.filter(
    h => h.state === 'draining' || h.state === 'maintenance',
  ).length
  return waiting.length / (inMaintenance + 1)
}
