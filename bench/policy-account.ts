import { bufferSize, poolMargin, servingByZone } from '../packages/host-pools/src/index.js'
import {
  hourMs,
  isReturnUnhealthy,
  moveCostMs,
  outageMs,
  workWindowAfterReturnMs,
  type PolicyContext,
} from './policy-context.js'
import { createLoadTrace, stepMs } from './policy-fleet.js'
import { computeRequiredHosts, createServiceModel, type ShareDistance } from './policy-service.js'

/** Weight of a step in the moving average of the demand, whose window is as long as a move. */
const demandSmoothing = stepMs / moveCostMs

/** Sums over the steps of a run. A host-step is one host during one step. */
export interface RunAccount {
  /** Serves the requests of one step and adds the step to the sums. */
  serveStep(step: number): void
  /** Idle hosts that the pools keep, without the steps in which the zone is out. */
  spareHostSteps: number
  /** Lower bound of `spareHostSteps`. */
  spareBoundHostSteps: number
  /** Upper bound of the work around the zone withdrawal. */
  workBoundHostHours: number
  /** Times that a budget was short while hosts were failed, counted once per pool and step. */
  exposedPoolSteps: number
  shareDistance: ShareDistance
  /** Times that a team was above its limit, counted once per team and step. */
  getLimitViolations(): number
}

/**
 * Creates the model that serves the demand of a run and adds up the quantities by which the policy
 * is measured. An ideal service, which never lacks a host except in the withdrawn zone, gives the
 * bound of the work.
 */
export function createAccount(ctx: PolicyContext, seed: number): RunAccount {
  const { setup, policy, state } = ctx
  const service = createServiceModel(setup, policy.division, seed * 7 + 2)
  const idealService = createServiceModel(setup, 'demand', seed * 7 + 2)
  const getLoad = createLoadTrace(setup.pools, seed * 7 + 3)
  const account: RunAccount = {
    serveStep,
    spareHostSteps: 0,
    spareBoundHostSteps: 0,
    workBoundHostHours: 0,
    exposedPoolSteps: 0,
    shareDistance: service.distance,
    getLimitViolations: () => service.limitViolations,
  }

  function serveStep(step: number): void {
    const now = step * stepMs
    const isZoneOut = state.fleet.zonesOut.size > 0
    const load = getLoad(step)
    const availableHosts = new Map(
      setup.pools.map(pool => [pool, countAvailableHosts(pool, isZoneOut)]),
    )
    const usedHosts = service.serve(step, load, availableHosts)
    const idealHosts = new Map(setup.pools.map(pool => [pool, countIdealHosts(pool, isZoneOut)]))
    const idealUsed = idealService.serve(step, load, idealHosts)
    for (const pool of setup.pools) {
      const inUse = usedHosts.get(pool) ?? 0
      updateLearnedDemand(pool, inUse)
      if (!isZoneOut) addSpare(pool, inUse)
      countBudgetShortage(pool, now)
      if (now < ctx.withdrawAt || now >= ctx.withdrawAt + outageMs + workWindowAfterReturnMs)
        continue
      addWork(pool, inUse, availableHosts.get(pool) ?? 0, now)
      addWorkBound(pool, idealUsed.get(pool) ?? 0, idealHosts.get(pool) ?? 0, isZoneOut)
    }
  }

  /**
   * Number of hosts that serve requests; with the buffer `zone`, as many as one zone has stay idle.
   */
  function countAvailableHosts(pool: string, isZoneOut: boolean): number {
    const serving = countServing(pool)
    return policy.buffer === 'zone' && !isZoneOut
      ? Math.max(0, serving - countHostsPerZone(pool))
      : serving
  }

  function updateLearnedDemand(pool: string, inUse: number): void {
    const previous = ctx.learnedDemand.get(pool) ?? 0
    ctx.learnedDemand.set(pool, previous * (1 - demandSmoothing) + inUse * demandSmoothing)
  }

  function addSpare(pool: string, inUse: number): void {
    const { required, requiredWithReserve } = computeRequiredHosts(setup, pool)
    const neededHosts = Math.max(required, inUse)
    account.spareHostSteps +=
      policy.buffer === 'zone'
        ? countHostsPerZone(pool)
        : Math.max(0, computeBufferedHosts(pool) - neededHosts)
    account.spareBoundHostSteps += Math.max(0, requiredWithReserve - neededHosts)
  }

  /**
   * Adds the work of one step: requests, and jobs on the hosts that the buffer does not reserve.
   */
  function addWork(pool: string, inUse: number, availableHosts: number, now: number): void {
    const neededHosts = Math.max(computeRequiredHosts(setup, pool).required, inUse)
    const reservedHosts =
      policy.buffer === 'zone' ? neededHosts : Math.max(computeBufferedHosts(pool), neededHosts)
    const busyHosts = inUse + Math.max(0, availableHosts - reservedHosts)
    ctx.workHostHours += (busyHosts * (1 - computeFailingFraction(pool, now)) * stepMs) / hourMs
  }

  /**
   * Adds the bound of the work of one step, in which no reserve is needed while the zone is out.
   */
  function addWorkBound(pool: string, inUse: number, idealHosts: number, isZoneOut: boolean): void {
    const { required, requiredWithReserve } = computeRequiredHosts(setup, pool)
    const reservedHosts = Math.max(inUse, isZoneOut ? required : requiredWithReserve)
    account.workBoundHostHours +=
      ((inUse + Math.max(0, idealHosts - reservedHosts)) * stepMs) / hourMs
  }

  /**
   * Counts a budget that is short. Without a failed host, a decision of the policy caused the
   * shortage. After the withdrawal of the zone, no further zone failure has to be survived.
   */
  function countBudgetShortage(pool: string, now: number): void {
    const margin =
      now < ctx.withdrawAt
        ? poolMargin(state.fleet, pool)
        : countServing(pool) - computeRequiredHosts(setup, pool).required
    if (margin >= 0) return
    if (state.failedHosts.size > 0) account.exposedPoolSteps++
    else state.violations.budget++
  }

  /** Fraction of a pool's serving hosts on which requests fail. */
  function computeFailingFraction(pool: string, now: number): number {
    if (!isReturnUnhealthy(ctx, now)) return 0
    return (servingByZone(state.fleet, pool).get(ctx.zone) ?? 0) / Math.max(1, countServing(pool))
  }

  /**
   * Number of hosts that a pool keeps, with its buffer. While a zone is out, the buffer is in use,
   * and only the required hosts are kept. The failure rate is ten times `hostFailuresPerHour`, and
   * a lent host replaces a failed one within 6 min.
   */
  function computeBufferedHosts(pool: string): number {
    const budget = setup.budgets.find(b => b.pool === pool)
    if (!budget) return 0
    if (state.fleet.zonesOut.size > 0) return budget.required
    const demandHosts = ctx.learnedDemand.get(pool) ?? 0
    const zones = setup.doc.zones.length
    return bufferSize({ budget, zones, failuresPerHostHour: 0.006, replaceHours: 0.1, demandHosts })
      .hosts
  }

  /** Number of serving hosts of a pool, without the zones that are out. */
  function countServing(pool: string): number {
    return [...servingByZone(state.fleet, pool).values()].reduce((a, b) => a + b, 0)
  }

  /** Number of a pool's hosts in one zone, rounded up. */
  function countHostsPerZone(pool: string): number {
    return Math.ceil(setup.hosts.filter(h => h.pool === pool).length / setup.doc.zones.length)
  }

  /** Number of a pool's hosts if all serve in the zones that are not out. */
  function countIdealHosts(pool: string, isZoneOut: boolean): number {
    return setup.hosts.filter(h => h.pool === pool && !(isZoneOut && h.zone === ctx.zone)).length
  }

  return account
}
