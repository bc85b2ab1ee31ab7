import {
  updatePressure,
  planMoves,
  poolMargin,
  type PoolNeed,
} from '../packages/host-pools/src/index.js'
import {
  planMaintenanceWave,
  choosePoolAfterMaintenance,
  reviewMaintenanceWave,
} from '../packages/maintenance/src/index.js'
import { canEndLoans } from '../packages/zone-withdrawal/src/index.js'
import { moveCostMs, type PolicyContext } from './policy-context.js'
import { computeRequiredHosts } from './policy-service.js'

/** Starts the drain of the hosts that the policy allows to leave for maintenance now. */
export function startMaintenanceWave({ state, policy, setup }: PolicyContext, now: number): void {
  const review = reviewMaintenanceWave({ fleet: state.fleet, wave: state.wave, now })
  if (policy.isBudgetKept && review.halt.length > 0) return
  const budgets = policy.isBudgetKept ? setup.budgets : []
  const hostLimit = policy.maxHosts === undefined ? {} : { maxHosts: policy.maxHosts }
  const fleet = { ...review.fleet, budgets }
  state.startMaintenance(
    planMaintenanceWave({ fleet, now, roundStartedAt: 0, ...hostLimit }).hosts,
    now,
  )
}

/**
 * Completes the transitions of hosts that are due. A host that returns from maintenance or repair
 * joins the pool that the policy chooses.
 */
export function advanceHosts(ctx: PolicyContext, now: number): void {
  const { state, policy, setup } = ctx
  const gainOption = policy.moveGain === undefined ? {} : { moveGain: policy.moveGain }
  const chooseOptions = { homePools: setup.homePools, now, roundStartedAt: 0, ...gainOption }
  state.advance(now, host =>
    policy.canChangePool
      ? choosePoolAfterMaintenance({ ...chooseOptions, fleet: state.fleet, host })
      : host.pool,
  )
}

/**
 * Computes the number of hosts that each pool needs. A pool that has hosts to maintain but no
 * margin to drain one needs one host more than it has, while no host is out of service.
 */
export function computePoolNeeds({
  state,
  setup,
  rolloutMs,
  learnedDemand,
}: PolicyContext): PoolNeed[] {
  return setup.pools.map(pool => {
    const poolHosts = state.fleet.hosts.filter(h => h.pool === pool)
    const isAwaitingMaintenance = rolloutMs === 0 && poolHosts.some(h => h.maintainedAt < 0)
    const isBlocked =
      isAwaitingMaintenance &&
      poolMargin(state.fleet, pool) === 0 &&
      state.fleet.hosts.every(h => h.state === 'serving')
    const hostsToUnblock = isBlocked ? poolHosts.length + 1 : 0
    const { required } = computeRequiredHosts(setup, pool)
    return {
      pool,
      hosts: Math.max(required, Math.ceil(learnedDemand.get(pool) ?? 0), hostsToUnblock),
    }
  })
}

/**
 * Updates the accumulated shortages and starts the moves of hosts that are due. From the start of the return of the zone
 * until loans may end, no moves start.
 */
export function moveHosts(ctx: PolicyContext, now: number): void {
  const { state, setup, zoneReturn, rolloutMs } = ctx
  const input = { fleet: state.fleet, needs: computePoolNeeds(ctx), moveCostMs }
  ctx.pressure = updatePressure({ ...input, previous: ctx.pressure, now })
  if (zoneReturn !== undefined && !canEndLoans(zoneReturn, now)) return
  // During the round a lent host is not returned by a move. It joins its home pool when it returns
  // from maintenance, or after the round.
  const homePools = rolloutMs === 0 ? new Map<string, string>() : setup.homePools
  const { pressure } = ctx
  for (const { host, to } of planMoves({
    ...input,
    pressure,
    homePools,
    sparePools: findLendingPools(ctx),
  })) {
    state.startMove(host, to, now)
  }
}

/**
 * Finds the pools that lend hosts to others. During the round, pools whose hosts are all maintained
 * lend like spare pools.
 */
function findLendingPools({ setup, state, rolloutMs }: PolicyContext): Set<string> {
  if (rolloutMs !== 0) return setup.sparePools
  const waitingPools = new Set(state.fleet.hosts.filter(h => h.maintainedAt < 0).map(h => h.pool))
  return new Set(setup.pools.filter(p => setup.sparePools.has(p) || !waitingPools.has(p)))
}
