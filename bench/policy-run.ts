import { seededRandom } from '../packages/standins/src/index.js'
import { isReturned, canEndLoans } from '../packages/zone-withdrawal/src/index.js'
import { createAccount, type Account } from './policy-account.js'
import { hourMs, minuteMs, outMs, windowMs, type PolicyContext } from './policy-context.js'
import { maintain, moveHosts, progress } from './policy-decisions.js'
import { failures, stepMs, type Setting } from './policy-fleet.js'
import { createState } from './policy-state.js'
import type { Policy, RunResult } from './policy-types.js'
import { bringBack, withdraw } from './policy-zone.js'

/** A round that has not ended by then is given up. */
const longestRoundMs = 60 * hourMs

/** Time between the end of the round and the withdrawal of the zone. */
const calmMs = 2 * hourMs

/** Part of the runs in which the zone is unhealthy when it returns. */
const relapsePart = 0.25

/** Steps between two looks at moves. */
const moveSteps = minuteMs / stepMs

/** Runs one maintenance round and then one withdrawal and return of a zone. */
export function runPolicy(setting: Setting, policy: Policy, seed: number): RunResult {
  const ctx = createContext(setting, policy, seed)
  const account = createAccount(ctx, seed)
  const fail = failures(setting.hosts, seed * 7 + 4, policy.failureFactor ?? 1)
  let inService = 0
  for (let step = 0; ; step++) {
    const now = step * stepMs
    if (now > ctx.outAt + outMs + windowMs) break
    if (ctx.rolloutMs === 0) for (const id of fail()) ctx.state.fail(id, now)
    progress(ctx, now)
    if (ctx.rolloutMs === 0) advanceRound(ctx, now)
    if (policy.lend && step % moveSteps === 0) moveHosts(ctx, now)
    if (now === ctx.outAt) withdraw(ctx, now)
    if (now >= ctx.outAt + outMs && !isBack(ctx, now)) bringBack(ctx, now)
    account.serveStep(step)
    if (ctx.state.fleet.zonesOut.size === 0) inService++
  }
  return resultOf(ctx, account, inService)
}

function createContext(setting: Setting, policy: Policy, seed: number): PolicyContext {
  const state = createState(setting, seed * 7 + 1)
  const rng = seededRandom(seed * 7 + 5)
  const zone = setting.doc.zones[Math.floor(rng() * setting.doc.zones.length)] ?? ''
  return {
    setting,
    policy,
    state,
    rng,
    zone,
    relapses: rng() < relapsePart,
    learned: new Map(setting.pools.map(pool => [pool, 1])),
    pressure: new Map(),
    rolloutMs: 0,
    outAt: Number.POSITIVE_INFINITY,
    back: undefined,
    work: 0,
  }
}

function advanceRound(ctx: PolicyContext, now: number): void {
  maintain(ctx, now)
  const { hosts } = ctx.state.fleet
  const isDone = hosts.every(h => h.maintainedAt >= 0 && h.state !== 'maintenance')
  if (!isDone && now < longestRoundMs) return
  ctx.rolloutMs = now
  ctx.outAt = now + calmMs
}

function isBack({ back, policy }: PolicyContext, now: number): boolean {
  return back !== undefined && policy.gradual && isReturned(back) && canEndLoans(back, now)
}

function resultOf(ctx: PolicyContext, account: Account, inService: number): RunResult {
  const { state } = ctx
  const { distance } = account
  const perDay = 24 / inService
  const contended = Math.max(1, distance.steps)
  return {
    spareHostHoursPerDay: account.spare * perDay,
    spareBound: account.spareBound * perDay,
    rolloutMs: ctx.rolloutMs,
    maintained: state.fleet.hosts.filter(h => h.maintainedAt >= 0).length,
    moves: state.moves,
    shareDistance: distance.actual / contended,
    shareBound: distance.bound / contended,
    work: ctx.work,
    workBound: account.workBound,
    broken: state.broken,
    overLimit: account.overLimit(),
    exposedSteps: account.exposed,
  }
}
