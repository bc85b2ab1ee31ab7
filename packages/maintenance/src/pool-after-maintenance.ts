import { poolMargin, withHosts, type Fleet, type FleetHost } from '@bulrushbridge/host-pools'
import { planWave } from './plan-wave.js'

/** Input of {@link poolAfterMaintenance}. */
export interface ReturnPoolOptions {
  fleet: Fleet
  /** The host that returns; still in its old pool and not serving. */
  host: FleetHost
  homes: ReadonlyMap<string, string>
  now: number
  roundStartedAt: number
  /**
   * Factor by which another pool's need must exceed that of the old pool; prevents needless moves.
   */
  moveGain?: number
}

/** At 1.25 hosts change pools so often that zones become uneven; at 4 tight pools wait too long. */
const defaultMoveGain = 2

/**
 * Pool that a host joins when its maintenance is done. Its old pool has kept its budget without it,
 * so it may join any pool, and the move needs no drain of its own. It goes where it allows a host to
 * leave that could not leave otherwise and where most hosts still wait per host away. When no pool
 * waits, it goes home.
 *
 * @example
 * const pool = poolAfterMaintenance({ fleet, host, homes, now, roundStartedAt })
 */
export function poolAfterMaintenance(opts: ReturnPoolOptions): string {
  const { fleet, host, homes } = opts
  if (poolMargin(fleet, host.pool) < 0) return host.pool
  const pools = new Set(fleet.budgets.map(({ pool }) => pool))
  const short = [...pools].find(pool => poolMargin(fleet, pool) < 0)
  if (short !== undefined) return short
  const gains = new Map([...pools].map(pool => [pool, unlockGain(opts, pool)]))
  const stay = gains.get(host.pool) ?? 0
  const [best, gain] = [...gains].sort((a, b) => b[1] - a[1])[0] ?? [host.pool, 0]
  if (gain === 0) return homes.get(host.id) ?? host.pool
  return gain > (opts.moveGain ?? defaultMoveGain) * stay ? best : host.pool
}

/** Hosts still to maintain per host away, if joining this pool lets one of them leave. */
function unlockGain(opts: ReturnPoolOptions, pool: string): number {
  const { now, roundStartedAt } = opts
  const joined = withHosts(opts.fleet, h =>
    h.id === opts.host.id ? { ...h, pool, state: 'serving', maintainedAt: now } : h,
  )
  const own = joined.hosts.filter(h => h.pool === pool)
  const waiting = own.filter(h => h.state === 'serving' && h.maintainedAt < roundStartedAt)
  const wave = planWave({ fleet: { ...joined, hosts: own }, now, roundStartedAt }).hosts
  const without = opts.fleet.hosts.filter(h => h.pool === pool)
  const before = planWave({ fleet: { ...opts.fleet, hosts: without }, now, roundStartedAt }).hosts
  if (wave.length <= before.length) return 0
  const away = own.filter(h => h.state === 'draining' || h.state === 'maintenance').length
  return waiting.length / (away + 1)
}
