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
import { coverOf } from './policy-service.js'

/** Sends out the hosts that may leave for maintenance. */
export function maintain({ state, policy, setting }: PolicyContext, now: number): void {
  const review = reviewMaintenanceWave({ fleet: state.fleet, wave: state.wave, now })
  if (policy.keepBudget && review.halt.length > 0) return
  const budgets = policy.keepBudget ? setting.budgets : []
  const limit = policy.maxHosts === undefined ? {} : { maxHosts: policy.maxHosts }
  const fleet = { ...review.fleet, budgets }
  state.leave(planMaintenanceWave({ fleet, now, roundStartedAt: 0, ...limit }).hosts, now)
}

/** Ends the waits of hosts; those that return from maintenance choose their pool. */
export function progress(ctx: PolicyContext, now: number): void {
  const { state, policy, setting } = ctx
  const gain = policy.moveGain === undefined ? {} : { moveGain: policy.moveGain }
  const choose = { homes: setting.homes, now, roundStartedAt: 0, ...gain }
  state.progress(now, host =>
    policy.join ? choosePoolAfterMaintenance({ ...choose, fleet: state.fleet, host }) : host.pool,
  )
}

/** Hosts that each pool needs. A pool that waits for its round without room needs one more. */
export function needsOf({ state, setting, rolloutMs, learned }: PolicyContext): PoolNeed[] {
  return setting.pools.map(pool => {
    const own = state.fleet.hosts.filter(h => h.pool === pool)
    const waits = rolloutMs === 0 && own.some(h => h.maintainedAt < 0)
    const isStuck =
      waits &&
      poolMargin(state.fleet, pool) === 0 &&
      state.fleet.hosts.every(h => h.state === 'serving')
    const extra = isStuck ? own.length + 1 : 0
    const { required } = coverOf(setting, pool)
    return { pool, hosts: Math.max(required, Math.ceil(learned.get(pool) ?? 0), extra) }
  })
}

/** Moves hosts between pools. */
export function moveHosts(ctx: PolicyContext, now: number): void {
  const { state, setting, back, rolloutMs } = ctx
  const input = { fleet: state.fleet, needs: needsOf(ctx), moveCostMs }
  ctx.pressure = updatePressure({ ...input, previous: ctx.pressure, now })
  if (back !== undefined && !canEndLoans(back, now)) return
  // While the round runs, a lent host stays; it goes home through maintenance or afterwards.
  const homes = rolloutMs === 0 ? new Map<string, string>() : setting.homes
  const { pressure } = ctx
  for (const { host, to } of planMoves({ ...input, pressure, homes, sparePools: lenders(ctx) })) {
    state.move(host, to, now)
  }
}

/** During a round, pools whose hosts are all maintained lend like the spare pool. */
function lenders({ setting, state, rolloutMs }: PolicyContext): Set<string> {
  if (rolloutMs !== 0) return setting.sparePools
  const waiting = new Set(state.fleet.hosts.filter(h => h.maintainedAt < 0).map(h => h.pool))
  return new Set(setting.pools.filter(p => setting.sparePools.has(p) || !waiting.has(p)))
}
