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
import { hourMs, isRelapsed, minuteMs, moveCostMs, type PolicyContext } from './policy-context.js'
import { needsOf } from './policy-decisions.js'

/** Lost work per host that stops without a checkpoint: half of a task of ten minutes. */
const lostMs = 5 * minuteMs

/** Part of the tasks that can be checkpointed. */
const checkpointablePart = 0.9

/** Step of a return at which all hosts are open. */
const lastStep = 3

/** Takes the zone out. */
export function withdraw(ctx: PolicyContext, now: number): void {
  const { state, setting, policy, zone } = ctx
  const margins = () => setting.pools.map(pool => poolMargin(state.fleet, pool))
  const before = margins()
  const running = runningTasks(ctx)
  const steps = policy.gradual ? planSteps(ctx, running) : []
  const lost = state.fleet.hosts.filter(h => h.zone === zone && h.state === 'serving').length
  if (!policy.gradual) ctx.work -= (lost * lostMs) / hourMs
  state.setZones(withZoneOut(state.fleet, zone).zonesOut)
  for (const step of steps) carryOut(ctx, step, now)
  if (margins().some((margin, i) => margin < 0 && (before[i] ?? 0) >= 0)) state.broken.budget++
}

/** One task for each serving host. */
function runningTasks({ state, setting, rng }: PolicyContext): RunningTask[] {
  const { teams } = setting.doc
  return state.fleet.hosts
    .filter(h => h.state === 'serving')
    .map((h, i) => ({
      id: `t${i}`,
      team: teams[i % teams.length]?.name ?? '',
      host: h.id,
      cores: 4,
      memoryGb: 16,
      isCheckpointable: rng() < checkpointablePart,
    }))
}

function planSteps(ctx: PolicyContext, running: RunningTask[]): WithdrawalStep[] {
  const { state, setting, pressure, zone } = ctx
  const { homes, sparePools, doc } = setting
  const shares = new Map(doc.teams.map(t => [t.name, t.share]))
  const limits = new Map(doc.teams.map(t => [t.name, t.limit]))
  const needs = needsOf(ctx)
  const plan = { fleet: state.fleet, needs, pressure, homes, sparePools, moveCostMs, zone }
  return planWithdrawal({ ...plan, running, shares, limits, inUse: new Map() })
}

function carryOut({ state }: PolicyContext, step: WithdrawalStep, now: number): void {
  if (step.kind === 'lend') {
    for (const { host, to } of step.moves) state.move(host, to, now)
  }
  if (step.kind === 'move') {
    for (const { host } of step.tasks) if (!canStartOnHost(state.fleet, host)) state.broken.zone++
  }
}

/** Brings the zone back, a step further with each call. */
export function bringBack(ctx: PolicyContext, now: number): void {
  const { state, policy, zone } = ctx
  const failedRequests = isRelapsed(ctx, now) ? 1 : 0
  if (ctx.back === undefined) {
    state.setZones(new Set())
    ctx.back = beginReturn(zone, now)
  } else {
    ctx.back = advanceReturn(
      ctx.back,
      { healthyHostFraction: 1, failedRequestFraction: failedRequests },
      now,
    )
  }
  if (!policy.gradual) ctx.back = { ...ctx.back, step: lastStep }
  const serving = state.fleet.hosts.map(h =>
    h.zone === zone ? { ...h, state: 'serving' as const } : h,
  )
  state.setServing(new Set(selectOpenHosts({ ...state.fleet, hosts: serving }, ctx.back)), zone)
}
