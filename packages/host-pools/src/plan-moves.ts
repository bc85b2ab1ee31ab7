import { poolMargin, servingByZone, withHostDraining, type Fleet, type FleetHost } from './fleet.js'

/** Hosts that one pool needs, estimated from its load. */
export interface PoolNeed {
  pool: string
  /** Number of hosts that the pool's work and budgets require now. */
  hosts: number
}

/** Accumulated shortage or surplus of hosts of one pool. */
export interface PoolPressure {
  /** Shortage over time, in host-milliseconds; negative for a surplus. */
  shortageHostMs: number
  /** Time of the last update, on the clock of `now`. */
  at: number
}

/** Input of {@link updatePressure}. */
export interface PoolPressureOptions {
  fleet: Fleet
  needs: readonly PoolNeed[]
  previous: ReadonlyMap<string, PoolPressure>
  now: number
  /** Cost of one move: the host-milliseconds that the drain and the start take. */
  moveCostMs: number
}

/** A planned move of a host to another pool. */
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
  /** Pools that lend their hosts to others. */
  sparePools: ReadonlySet<string>
  /** Pool to which each host belongs by the environment document; a lent host is in another one. */
  homePools: ReadonlyMap<string, string>
  /** Cost of one move, as in {@link PoolPressureOptions}. */
  moveCostMs: number
}

/**
 * Updates the accumulated shortage or surplus of each pool. The sum is reset when the shortage
 * changes its sign, and it is limited to the cost of two moves, so that an old surplus neither
 * delays nor triggers a later move.
 */
export function updatePressure(opts: PoolPressureOptions): Map<string, PoolPressure> {
  return new Map(
    opts.needs.map(({ pool, hosts }) => {
      const shortage = hosts - servingCount(opts.fleet, pool)
      const before = opts.previous.get(pool) ?? { shortageHostMs: 0, at: opts.now }
      const kept =
        Math.sign(before.shortageHostMs) === Math.sign(shortage) ? before.shortageHostMs : 0
      const limit = 2 * opts.moveCostMs
      const shortageHostMs = Math.max(
        -limit,
        Math.min(limit, kept + shortage * (opts.now - before.at)),
      )
      return [pool, { shortageHostMs, at: opts.now }]
    }),
  )
}

/**
 * Plans moves of hosts between pools. A pool below a budget receives a host at once. A pool that is
 * short of hosts for its load receives one when the accumulated shortage reaches the cost of a
 * move. By the ski-rental rule the total cost is then at most twice that of a planner that knows
 * the future. A lent host returns to its home pool when the accumulated surplus of the borrowing
 * pool reaches the cost of a move. No move brings the pool that gives the host below its budget.
 *
 * @example
 * const moves = planMoves({ fleet, needs, pressure, sparePools, homePools, moveCostMs: 240_000 })
 */
export function planMoves(opts: MoveOptions): PlannedMove[] {
  const moves: PlannedMove[] = []
  let fleet = opts.fleet
  const addMove = (donor: FleetHost, to: string, reason: PlannedMove['reason']) => {
    moves.push({ host: donor.id, from: donor.pool, to, reason })
    fleet = withHostDraining(fleet, donor.id)
  }
  for (const { pool, reason } of findReceivers(opts)) {
    const donor = selectDonor({ ...opts, fleet }, pool, reason)
    if (donor) addMove(donor, pool, reason)
  }
  for (const host of opts.fleet.hosts) {
    const homePool = opts.homePools.get(host.id) ?? host.pool
    const surplus = -(opts.pressure.get(host.pool)?.shortageHostMs ?? 0)
    if (homePool === host.pool || surplus < opts.moveCostMs) continue
    if (moves.some(move => move.to === host.pool || move.from === host.pool)) continue
    if (canDonate(fleet, host)) addMove(host, homePool, 'give-back')
  }
  return moves
}

/** Finds the pools that should receive a host; those below a budget come first. */
function findReceivers(opts: MoveOptions): { pool: string; reason: 'budget' | 'load' }[] {
  const receivers: { pool: string; reason: 'budget' | 'load' }[] = []
  for (const { pool } of opts.needs) {
    // A host that is joining the pool already fills the shortage.
    if (opts.fleet.hosts.some(host => host.pool === pool && host.state === 'joining')) continue
    if (poolMargin(opts.fleet, pool) < 0) receivers.push({ pool, reason: 'budget' })
    else if (
      (opts.pressure.get(pool)?.shortageHostMs ?? 0) >= opts.moveCostMs &&
      !opts.sparePools.has(pool)
    )
      receivers.push({ pool, reason: 'load' })
  }
  // Budgets are promised to callers, so they take precedence over load.
  return receivers.sort((a, b) => Number(a.reason === 'load') - Number(b.reason === 'load'))
}

/**
 * Selects the host that moves to the pool. For a shortage by load only hosts of spare pools with a
 * surplus qualify. Hosts of spare pools are preferred, then hosts in zones where the receiving pool
 * has fewest hosts.
 */
function selectDonor(
  opts: MoveOptions,
  to: string,
  reason: 'budget' | 'load',
): FleetHost | undefined {
  const countByZone = servingByZone(opts.fleet, to)
  const zoneCount = (host: FleetHost) => countByZone.get(host.zone) ?? 0
  const surplus = new Map(
    opts.needs.map(({ pool, hosts }) => [pool, servingCount(opts.fleet, pool) - hosts]),
  )
  return opts.fleet.hosts
    .filter(host => host.pool !== to && canDonate(opts.fleet, host))
    .filter(host => opts.sparePools.has(host.pool) || reason === 'budget')
    .filter(host => reason === 'budget' || (surplus.get(host.pool) ?? 0) >= 1)
    .sort(
      (a, b) =>
        Number(opts.sparePools.has(b.pool)) - Number(opts.sparePools.has(a.pool)) ||
        zoneCount(a) - zoneCount(b) ||
        (a.id < b.id ? -1 : 1),
    )[0]
}

/**
 * Whether the host is serving, in a zone in service, and its pool meets every budget without it.
 */
export function canDonate(fleet: Fleet, host: FleetHost): boolean {
  if (host.state !== 'serving' || fleet.zonesOut.has(host.zone)) return false
  return poolMargin(withHostDraining(fleet, host.id), host.pool) >= 0
}

/** Number of serving hosts of a pool, without the zones taken out of service. */
function servingCount(fleet: Fleet, pool: string): number {
  let sum = 0
  for (const count of servingByZone(fleet, pool).values()) sum += count
  return sum
}
