import {
  updatePressure,
  planMoves,
  poolMargin,
  type Fleet,
  type PlannedMove,
  type PoolNeed,
  type PoolPressure,
} from '@bulrushbridge/host-pools'
import { roundStart, type FleetConfiguration } from './fleet-configuration.js'
import type { FleetHostRow } from './rows.js'

/** Host time that a move costs by its drain and start, in milliseconds. */
const moveCostMs = 4 * 60_000

/** Input of {@link MovePlanner.plan}. */
export interface MovePlanOptions {
  cfg: FleetConfiguration
  fleet: Fleet
  rows: readonly FleetHostRow[]
  needs: readonly PoolNeed[]
  /** Whether a zone is coming back. */
  isZoneReturning: boolean
  /** Monotonic milliseconds. */
  now: number
  /** Wall-clock milliseconds. */
  wallNow: number
}

/** A planned move, or one out of a pool that is no longer in the document. */
export type Move = Omit<PlannedMove, 'reason'> & { reason: PlannedMove['reason'] | 'pool-removed' }

/** Decides on moves; a successor has no pressure yet, which only delays moves by load. */
export class MovePlanner {
  #pressure: ReadonlyMap<string, PoolPressure> = new Map()

  /** Plans the moves that start now. */
  plan(opts: MovePlanOptions): Move[] {
    const { cfg, fleet, rows, wallNow } = opts
    const waiting = rows.filter(
      ({ state, maintainedAt }) => state !== 'failed' && maintainedAt < roundStart(cfg, wallNow),
    )
    const waitingPools = new Set(waiting.map(({ pool }) => pool))
    const needs = opts.needs.map(need => withMaintenance(need, fleet, waitingPools))
    this.#pressure = updatePressure({
      fleet,
      needs,
      previous: this.#pressure,
      now: opts.now,
      moveCostMs,
    })
    // During a round a lent host stays; it goes home through maintenance or afterwards.
    const homes = waiting.length > 0 ? [] : rows.map(({ id, home }) => [id, home] as const)
    // During a round pools whose hosts are all maintained lend like the spare pool.
    const lenders =
      waiting.length === 0
        ? cfg.sparePools
        : new Set(
            cfg.pools.flatMap(({ name, spare }) => (spare || !waitingPools.has(name) ? name : [])),
          )
    const pressure = this.#pressure
    const moves = planMoves({
      fleet,
      needs,
      pressure,
      sparePools: lenders,
      homes: new Map(homes),
      moveCostMs,
    })
    return [...moves, ...removedPools(cfg, fleet, rows)].filter(move => isAllowed(move, opts))
  }
}

/** A pool whose hosts cannot leave for lack of one asks for one more. */
function withMaintenance(need: PoolNeed, fleet: Fleet, waiting: ReadonlySet<string>): PoolNeed {
  const own = fleet.hosts.filter(({ pool }) => pool === need.pool)
  const isStuck = waiting.has(need.pool) && poolMargin(fleet, need.pool) === 0
  if (!isStuck || fleet.hosts.some(({ state }) => state !== 'serving')) return need
  return { ...need, hosts: Math.max(need.hosts, own.length + 1) }
}

function removedPools(
  cfg: FleetConfiguration,
  fleet: Fleet,
  rows: readonly FleetHostRow[],
): Move[] {
  const known = new Set(cfg.pools.map(({ name }) => name))
  const serving = new Set(fleet.hosts.flatMap(h => (h.state === 'serving' ? h.id : [])))
  return rows
    .filter(({ id, pool, home }) => !known.has(pool) && known.has(home) && serving.has(id))
    .map(({ id, pool, home }) => ({ host: id, from: pool, to: home, reason: 'pool-removed' }))
}

/** One move at a time for each pool, because a draining host does not show in the need yet. */
function isAllowed({ from, to, reason }: Move, opts: MovePlanOptions): boolean {
  // A relapse of the zone would call for the lent hosts again.
  if (opts.isZoneReturning && reason !== 'budget') return false
  if (reason === 'pool-removed') return true
  const moving = opts.rows.filter(({ movingTo }) => movingTo !== undefined)
  if (moving.some(({ movingTo }) => movingTo === to)) return false
  return reason === 'budget' || !moving.some(row => row.pool === from || row.movingTo === from)
}
