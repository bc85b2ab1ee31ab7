import { poolMargin } from '../packages/host-pools/src/index.js'
import {
  advanceReturn,
  beginReturn,
  canStartOnHost,
  selectOpenHosts,
  planWithdrawal,
  withZoneOut,
  type RunningTask,
  type WithdrawalStep,
} from '../packages/zone-withdrawal/src/index.js'
import {
  hourMs,
  isReturnUnhealthy,
  minuteMs,
  moveCostMs,
  type PolicyContext,
} from './policy-context.js'
import { computePoolNeeds } from './policy-decisions.js'

/** Work lost per host that stops without checkpoints: half of a task of ten minutes. */
const lostWorkPerHostMs = 5 * minuteMs

/** Probability that a task can be checkpointed. */
const checkpointableProbability = 0.9

/** Step of a return at which all hosts of the zone may take work. */
const lastReturnStep = 3

/**
 * Withdraws the zone. A policy that is not gradual loses the work in progress there. A budget that
 * was met before the withdrawal and is not met after it counts as a violation.
 */
export function withdrawZone(ctx: PolicyContext, now: number): void {
  const { state, setup, policy, zone } = ctx
  const computeMargins = () => setup.pools.map(pool => poolMargin(state.fleet, pool))
  const marginsBefore = computeMargins()
  const running = drawRunningTasks(ctx)
  const steps = policy.isGradual ? planWithdrawalSteps(ctx, running) : []
  const lostHosts = state.fleet.hosts.filter(h => h.zone === zone && h.state === 'serving').length
  if (!policy.isGradual) ctx.workHostHours -= (lostHosts * lostWorkPerHostMs) / hourMs
  state.setZonesOut(withZoneOut(state.fleet, zone).zonesOut)
  for (const step of steps) applyStep(ctx, step, now)
  if (computeMargins().some((margin, i) => margin < 0 && (marginsBefore[i] ?? 0) >= 0))
    state.violations.budget++
}

/** Draws one running task for each serving host. */
function drawRunningTasks({ state, setup, rng }: PolicyContext): RunningTask[] {
  const { teams } = setup.doc
  return state.fleet.hosts
    .filter(h => h.state === 'serving')
    .map((h, i) => ({
      id: `t${i}`,
      team: teams[i % teams.length]?.name ?? '',
      host: h.id,
      cores: 4,
      memoryGb: 16,
      isCheckpointable: rng() < checkpointableProbability,
    }))
}

function planWithdrawalSteps(ctx: PolicyContext, running: RunningTask[]): WithdrawalStep[] {
  const { state, setup, pressure, zone } = ctx
  const { homePools, sparePools, doc } = setup
  const shares = new Map(doc.teams.map(t => [t.name, t.share]))
  const limits = new Map(doc.teams.map(t => [t.name, t.limit]))
  const needs = computePoolNeeds(ctx)
  const plan = { fleet: state.fleet, needs, pressure, homePools, sparePools, moveCostMs, zone }
  return planWithdrawal({ ...plan, running, shares, limits, inUse: new Map() })
}

/**
 * Applies the steps of a withdrawal that move hosts or place tasks; the others have no effect here.
 */
function applyStep({ state }: PolicyContext, step: WithdrawalStep, now: number): void {
  if (step.kind === 'lend') {
    for (const { host, to } of step.moves) state.startMove(host, to, now)
  }
  if (step.kind === 'move') {
    for (const { host } of step.tasks)
      if (!canStartOnHost(state.fleet, host)) state.violations.zone++
  }
}

/**
 * Starts the return of the zone, or continues it with an observation of the zone's health. A policy
 * that is not gradual opens all hosts at once.
 */
export function advanceZoneReturn(ctx: PolicyContext, now: number): void {
  const { state, policy, zone } = ctx
  const failedRequestFraction = isReturnUnhealthy(ctx, now) ? 1 : 0
  if (ctx.zoneReturn === undefined) {
    state.setZonesOut(new Set())
    ctx.zoneReturn = beginReturn(zone, now)
  } else {
    ctx.zoneReturn = advanceReturn(
      ctx.zoneReturn,
      { healthyHostFraction: 1, failedRequestFraction },
      now,
    )
  }
  if (!policy.isGradual) ctx.zoneReturn = { ...ctx.zoneReturn, step: lastReturnStep }
  const serving = state.fleet.hosts.map(h =>
    h.zone === zone ? { ...h, state: 'serving' as const } : h,
  )
  state.setServingHosts(
    new Set(selectOpenHosts({ ...state.fleet, hosts: serving }, ctx.zoneReturn)),
    zone,
  )
}
