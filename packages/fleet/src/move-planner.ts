import {
  updatePressure,
  planMoves,
  poolMargin,
  type Fleet,
  type PlannedMove,
  type PoolNeed,
  type PoolPressure,
} from '@bulrushbridge/host-pools'
import { computeRoundStart, type FleetConfiguration } from './fleet-configuration.js'
import type { FleetHostRow } from './rows.js'

/** Time that a host is out of service during a move, for its drain and start, in milliseconds. */
const moveCostMs = 4 * 60_000

/** Input of {@link MovePlanner.plan}. */
export interface MovePlanOptions {
  cfg: FleetConfiguration
  fleet: Fleet
  rows: readonly FleetHostRow[]
  needs: readonly PoolNeed[]
  /** Whether a zone is returning to service. */
  isZoneReturning: boolean
  /** Monotonic milliseconds. */
  now: number
  /** Wall-clock milliseconds. */
  wallNow: number
}

/** A planned move, including moves out of a pool that is no longer in the environment document. */
export type HostMove = Omit<PlannedMove, 'reason'> & {
  reason: PlannedMove['reason'] | 'pool-removed'
}

/**
 * Plans moves between pools. The pressure is not stored: the next lease holder starts without it,
 * which only delays moves that follow from load.
 */
export class MovePlanner {
  #pressure: ReadonlyMap<string, PoolPressure> = new Map()

  /** Plans the moves that start now. */
  plan(opts: MovePlanOptions): HostMove[] {
    const { cfg, fleet, rows, wallNow } = opts
    const unmaintainedRows = rows.filter(
      ({ state, maintainedAt }) =>
        state !== 'failed' && maintainedAt < computeRoundStart(cfg, wallNow),
    )
    const unmaintainedPools = new Set(unmaintainedRows.map(({ pool }) => pool))
    const needs = opts.needs.map(need => addMaintenanceNeed(need, fleet, unmaintainedPools))
    this.#pressure = updatePressure({
      fleet,
      needs,
      previous: this.#pressure,
      now: opts.now,
      moveCostMs,
    })
    // While hosts are still due in this maintenance round, lent hosts do not move home. They return
    // home when their pool is chosen after their maintenance, or once the round has ended.
    const homePools =
      unmaintainedRows.length > 0 ? [] : rows.map(({ id, home }) => [id, home] as const)
    // During a maintenance round, pools whose hosts have all been maintained lend like spare pools.
    const lendingPools =
      unmaintainedRows.length === 0
        ? cfg.sparePools
        : new Set(
            cfg.pools.flatMap(({ name, spare }) =>
              spare || !unmaintainedPools.has(name) ? name : [],
            ),
          )
    const pressure = this.#pressure
    const moves = planMoves({
      fleet,
      needs,
      pressure,
      sparePools: lendingPools,
      homePools: new Map(homePools),
      moveCostMs,
    })
    return [...moves, ...planMovesFromRemovedPools(cfg, fleet, rows)].filter(move =>
      isAllowed(move, opts),
    )
  }
}

/**
 * Adds one host to the need of a pool that has hosts to maintain but no margin to take one out of
 * service, unless a host of the fleet is already out of service.
 */
function addMaintenanceNeed(
  need: PoolNeed,
  fleet: Fleet,
  unmaintainedPools: ReadonlySet<string>,
): PoolNeed {
  const poolHosts = fleet.hosts.filter(({ pool }) => pool === need.pool)
  const isBlocked = unmaintainedPools.has(need.pool) && poolMargin(fleet, need.pool) === 0
  if (!isBlocked || fleet.hosts.some(({ state }) => state !== 'serving')) return need
  return { ...need, hosts: Math.max(need.hosts, poolHosts.length + 1) }
}

/** Plans moves to the home pool for serving hosts of pools that are no longer in the document. */
function planMovesFromRemovedPools(
  cfg: FleetConfiguration,
  fleet: Fleet,
  rows: readonly FleetHostRow[],
): HostMove[] {
  const knownPools = new Set(cfg.pools.map(({ name }) => name))
  const servingHosts = new Set(fleet.hosts.flatMap(h => (h.state === 'serving' ? h.id : [])))
  return rows
    .filter(
      ({ id, pool, home }) => !knownPools.has(pool) && knownPools.has(home) && servingHosts.has(id),
    )
    .map(({ id, pool, home }) => ({ host: id, from: pool, to: home, reason: 'pool-removed' }))
}

/**
 * Whether a move may start now. Each pool has one move at a time, because a host that is still
 * draining does not yet show in the pool's need.
 */
function isAllowed({ from, to, reason }: HostMove, opts: MovePlanOptions): boolean {
  // If the returning zone failed again, the lent hosts would be needed again.
  if (opts.isZoneReturning && reason !== 'budget') return false
  if (reason === 'pool-removed') return true
  const movingRows = opts.rows.filter(({ movingTo }) => movingTo !== undefined)
  if (movingRows.some(({ movingTo }) => movingTo === to)) return false
  return reason === 'budget' || !movingRows.some(row => row.pool === from || row.movingTo === from)
}
