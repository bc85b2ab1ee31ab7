import { seededRandom } from '../packages/standins/src/index.js'
import { isReturned, canEndLoans } from '../packages/zone-withdrawal/src/index.js'
import { createAccount, type RunAccount } from './policy-account.js'
import {
  hourMs,
  minuteMs,
  outageMs,
  workWindowAfterReturnMs,
  type PolicyContext,
} from './policy-context.js'
import { startMaintenanceWave, moveHosts, advanceHosts } from './policy-decisions.js'
import { createFailureTrace, stepMs, type FleetSetup } from './policy-fleet.js'
import { createState } from './policy-state.js'
import type { Policy, RunResult } from './policy-types.js'
import { advanceZoneReturn, withdrawZone } from './policy-zone.js'

/** Time after which a maintenance round that has not ended is abandoned. */
const maxRoundMs = 60 * hourMs

/** Time from the end of the maintenance round to the withdrawal of the zone. */
const withdrawalDelayMs = 2 * hourMs

/** Probability that requests fail in the zone at the start of its return. */
const unhealthyReturnProbability = 0.25

/** Steps from one planning of moves to the next. */
const stepsBetweenMoves = minuteMs / stepMs

/**
 * Simulates one maintenance round, followed by the withdrawal and the return of one zone. Hosts
 * fail only during the round.
 */
export function runPolicy(setup: FleetSetup, policy: Policy, seed: number): RunResult {
  const ctx = createContext(setup, policy, seed)
  const account = createAccount(ctx, seed)
  const drawFailures = createFailureTrace(setup.hosts, seed * 7 + 4, policy.failureFactor ?? 1)
  let stepsInService = 0
  for (let step = 0; ; step++) {
    const now = step * stepMs
    if (now > ctx.withdrawAt + outageMs + workWindowAfterReturnMs) break
    if (ctx.rolloutMs === 0) for (const id of drawFailures()) ctx.state.failHost(id, now)
    advanceHosts(ctx, now)
    if (ctx.rolloutMs === 0) advanceRound(ctx, now)
    if (policy.canLendHosts && step % stepsBetweenMoves === 0) moveHosts(ctx, now)
    if (now === ctx.withdrawAt) withdrawZone(ctx, now)
    if (now >= ctx.withdrawAt + outageMs && !isReturnComplete(ctx, now)) advanceZoneReturn(ctx, now)
    account.serveStep(step)
    if (ctx.state.fleet.zonesOut.size === 0) stepsInService++
  }
  return computeResult(ctx, account, stepsInService)
}

function createContext(setup: FleetSetup, policy: Policy, seed: number): PolicyContext {
  const state = createState(setup, seed * 7 + 1)
  const rng = seededRandom(seed * 7 + 5)
  const zone = setup.doc.zones[Math.floor(rng() * setup.doc.zones.length)] ?? ''
  return {
    setup,
    policy,
    state,
    rng,
    zone,
    isUnhealthyAtFirst: rng() < unhealthyReturnProbability,
    learnedDemand: new Map(setup.pools.map(pool => [pool, 1])),
    pressure: new Map(),
    rolloutMs: 0,
    withdrawAt: Number.POSITIVE_INFINITY,
    zoneReturn: undefined,
    workHostHours: 0,
  }
}

/** Continues the maintenance round, and schedules the withdrawal of the zone at its end. */
function advanceRound(ctx: PolicyContext, now: number): void {
  startMaintenanceWave(ctx, now)
  const { hosts } = ctx.state.fleet
  const isRoundDone = hosts.every(h => h.maintainedAt >= 0 && h.state !== 'maintenance')
  if (!isRoundDone && now < maxRoundMs) return
  ctx.rolloutMs = now
  ctx.withdrawAt = now + withdrawalDelayMs
}

/**
 * Whether a gradual return has ended. A return that is not gradual is applied again at each step.
 */
function isReturnComplete({ zoneReturn, policy }: PolicyContext, now: number): boolean {
  return (
    zoneReturn !== undefined &&
    policy.isGradual &&
    isReturned(zoneReturn) &&
    canEndLoans(zoneReturn, now)
  )
}

function computeResult(ctx: PolicyContext, account: RunAccount, stepsInService: number): RunResult {
  const { state } = ctx
  const { shareDistance } = account
  const dayHoursPerStep = 24 / stepsInService
  const contendedSteps = Math.max(1, shareDistance.contendedSteps)
  return {
    spareHostHoursPerDay: account.spareHostSteps * dayHoursPerStep,
    spareBoundHostHoursPerDay: account.spareBoundHostSteps * dayHoursPerStep,
    rolloutMs: ctx.rolloutMs,
    maintainedHosts: state.fleet.hosts.filter(h => h.maintainedAt >= 0).length,
    moves: state.moveCount,
    shareDistance: shareDistance.actual / contendedSteps,
    shareDistanceBound: shareDistance.bound / contendedSteps,
    workHostHours: ctx.workHostHours,
    workBoundHostHours: account.workBoundHostHours,
    violations: state.violations,
    limitViolations: account.getLimitViolations(),
    exposedPoolSteps: account.exposedPoolSteps,
  }
}
