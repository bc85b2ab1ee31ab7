import { poolMargin, servingByZone, withoutHost, type Fleet, type FleetHost } from './fleet.js'

/** Need of one pool, as learned from its load. */
export interface PoolNeed {
  pool: string
  /** Hosts that the pool's work and its budget call for now. */
  hosts: number
}

/** Accumulated imbalance of one pool in host-milliseconds; positive when hosts were missing. */
export interface PoolPressure {
  debt: number
  at: number
}

/** Input of {@link observePressure}. */
export interface PressureOptions {
  fleet: Fleet
  needs: readonly PoolNeed[]
  previous: ReadonlyMap<string, PoolPressure>
  now: number
  /** Cost of one move: the host-milliseconds lost to the drain and the start. */
  moveCostMs: number
}

/** A planned change of pool. */
export interface PlannedMove {
  host: string
  from: string
  to: string
  reason: 'budget' | 'load' | 'give-back'
}

/** Input of {@link planMoves}. */
export interface MoveOptions {
  fleet: Fleet
  needs: readonly PoolNeed[]
  pressure: ReadonlyMap<string, PoolPressure>
  /** Pools that lend their hosts. */
  sparePools: ReadonlySet<string>
  /** Pool to which each host belongs by the document; a lent host is in another one. */
  homes: ReadonlyMap<string, string>
  moveCostMs: number
}

/**
 * Updates each pool's accumulated imbalance. The sign of the imbalance resets the sum, and the sum
 * is capped at two moves, so that an old surplus neither delays nor triggers a later move.
 */
export function observePressure(opts: PressureOptions): Map<string, PoolPressure> {
  return new Map(
    opts.needs.map(({ pool, hosts }) => {
      const short = hosts - servingCount(opts.fleet, pool)
      const before = opts.previous.get(pool) ?? { debt: 0, at: opts.now }
      const kept = Math.sign(before.debt) === Math.sign(short) ? before.debt : 0
      const limit = 2 * opts.moveCostMs
      const debt = Math.max(-limit, Math.min(limit, kept + short * (opts.now - before.at)))
      return [pool, { debt, at: opts.now }]
    }),
  )
}

/**
 * Plans moves. A shortage of the budget is filled at once. A shortage by load is filled when it has
 * already cost as much as the move (the rule of ski rental: at most twice the cost of knowing the
 * future); a lent host goes back when its pool has had that much surplus. The host that leaves
 * never brings its pool below the budget.
 *
 * @example
 * const moves = planMoves({ fleet, needs, pressure, sparePools, homes, moveCostMs: 240_000 })
 */
export function planMoves(opts: MoveOptions): PlannedMove[] {
  const moves: PlannedMove[] = []
  let fleet = opts.fleet
  const take = (donor: FleetHost, to: string, reason: PlannedMove['reason']) => {
    moves.push({ host: donor.id, from: donor.pool, to, reason })
    fleet = withoutHost(fleet, donor.id)
  }
  for (const { pool, reason } of receivers(opts)) {
    const donor = pickDonor({ ...opts, fleet }, pool, reason)
    if (donor) take(donor, pool, reason)
  }
  for (const host of opts.fleet.hosts) {
    const home = opts.homes.get(host.id) ?? host.pool
    const surplus = -(opts.pressure.get(host.pool)?.debt ?? 0)
    if (home === host.pool || surplus < opts.moveCostMs) continue
    if (moves.some(move => move.to === host.pool || move.from === host.pool)) continue
    if (mayGive(fleet, host)) take(host, home, 'give-back')
  }
  return moves
}

function receivers(opts: MoveOptions): { pool: string; reason: 'budget' | 'load' }[] {
  const found: { pool: string; reason: 'budget' | 'load' }[] = []
  for (const { pool } of opts.needs) {
    // A host on its way already fills the shortage.
    if (opts.fleet.hosts.some(host => host.pool === pool && host.state === 'joining')) continue
    if (poolMargin(opts.fleet, pool) < 0) found.push({ pool, reason: 'budget' })
    else if ((opts.pressure.get(pool)?.debt ?? 0) >= opts.moveCostMs && !opts.sparePools.has(pool))
      found.push({ pool, reason: 'load' })
  }
  // The budget is promised to callers; load is not.
  return found.sort((a, b) => Number(a.reason === 'load') - Number(b.reason === 'load'))
}

function pickDonor(
  opts: MoveOptions,
  to: string,
  reason: 'budget' | 'load',
): FleetHost | undefined {
  const counts = servingByZone(opts.fleet, to)
  const zoneCount = (host: FleetHost) => counts.get(host.zone) ?? 0
  const surplus = new Map(
    opts.needs.map(({ pool, hosts }) => [pool, servingCount(opts.fleet, pool) - hosts]),
  )
  return opts.fleet.hosts
    .filter(host => host.pool !== to && mayGive(opts.fleet, host))
    .filter(host => opts.sparePools.has(host.pool) || reason === 'budget')
    .filter(host => reason === 'budget' || (surplus.get(host.pool) ?? 0) >= 1)
    .sort(
      (a, b) =>
        Number(opts.sparePools.has(b.pool)) - Number(opts.sparePools.has(a.pool)) ||
        zoneCount(a) - zoneCount(b) ||
        (a.id < b.id ? -1 : 1),
    )[0]
}

/** Whether the host's pool keeps its budget without it. */
export function mayGive(fleet: Fleet, host: FleetHost): boolean {
  if (host.state !== 'serving' || fleet.zonesOut.has(host.zone)) return false
  return poolMargin(withoutHost(fleet, host.id), host.pool) >= 0
}

function servingCount(fleet: Fleet, pool: string): number {
  let sum = 0
  for (const count of servingByZone(fleet, pool).values()) sum += count
  return sum
}
