import {
  bufferSize,
  observePressure,
  planMoves,
  poolMargin,
  servingByZone,
  type PoolPressure,
} from '../packages/host-pools/src/index.js'
import { planWave, poolAfterMaintenance, reviewWave } from '../packages/maintenance/src/index.js'
import {
  advanceReturn,
  beginReturn,
  isReturned,
  mayEndLoans,
  mayStart,
  openHosts,
  planWithdrawal,
  zoneOut,
  type RunningTask,
  type ZoneReturn,
} from '../packages/zone-withdrawal/src/index.js'
import { arrivals, failures, random, stepMs, type Setting } from './policy-fleet.js'
import { coverOf, createService } from './policy-service.js'
import { createState } from './policy-state.js'
import type { Policy, RunResult } from './policy-types.js'

const minuteMs = 60_000
const moveCostMs = 4 * minuteMs
const outMs = 60 * minuteMs
const windowMs = 15 * minuteMs
const longestRoundMs = 60 * 60 * minuteMs
const hourMs = 60 * minuteMs
const relapsePart = 0.25
const relapseMs = 2 * minuteMs
/** Lost work per host that stops without a checkpoint: half of a task of ten minutes. */
const lostMs = 5 * minuteMs
/** Weight of a step in the learned demand, for a window as long as a move. */
const demandWeight = stepMs / moveCostMs

/** Runs one maintenance round and then one withdrawal and return of a zone. */
export function runPolicy(setting: Setting, policy: Policy, seed: number): RunResult {
  const state = createState(setting, seed * 7 + 1)
  const service = createService(setting, policy.division, seed * 7 + 2)
  const ideal = createService(setting, 'demand', seed * 7 + 2)
  const offered = arrivals(setting.pools, seed * 7 + 3)
  const fail = failures(setting.hosts, seed * 7 + 4)
  const rng = random(seed * 7 + 5)
  const zone = setting.doc.zones[Math.floor(rng() * setting.doc.zones.length)] ?? ''
  const relapse = rng() < relapsePart
  const learned = new Map(setting.pools.map(pool => [pool, 1]))
  const result = { spare: 0, spareBound: 0, work: 0, workBound: 0, exposed: 0 }
  let pressure: ReadonlyMap<string, PoolPressure> = new Map()
  let rolloutMs = 0
  let outAt = Number.POSITIVE_INFINITY
  let back: ZoneReturn | undefined
  let step = 0

  function heldHosts(pool: string): number {
    const budget = setting.budgets.find(b => b.pool === pool)
    if (!budget) return 0
    if (state.fleet.zonesOut.size > 0) return budget.required
    const demandHosts = learned.get(pool) ?? 0
    const zones = setting.doc.zones.length
    return bufferSize({ budget, zones, failuresPerHostHour: 0.006, replaceHours: 0.1, demandHosts })
      .hosts
  }

  function maintain(now: number): void {
    const review = reviewWave({ fleet: state.fleet, wave: state.wave, now })
    if (policy.keepBudget && review.halt.length > 0) return
    const budgets = policy.keepBudget ? setting.budgets : []
    const limit = policy.maxHosts === undefined ? {} : { maxHosts: policy.maxHosts }
    const fleet = { ...review.fleet, budgets }
    state.leave(planWave({ fleet, now, roundStartedAt: 0, ...limit }).hosts, now)
  }

  function needs() {
    return setting.pools.map(pool => {
      const own = state.fleet.hosts.filter(h => h.pool === pool)
      const waits = rolloutMs === 0 && own.some(h => h.maintainedAt < 0)
      const stuck =
        waits && poolMargin(state.fleet, pool) === 0 && own.every(h => h.state === 'serving')
      const extra =
        stuck && state.fleet.hosts.every(h => h.state === 'serving') ? own.length + 1 : 0
      return {
        pool,
        hosts: Math.max(coverOf(setting, pool).required, Math.ceil(learned.get(pool) ?? 0), extra),
      }
    })
  }

  /** During a round, pools whose hosts are all maintained lend like the spare pool. */
  function lenders(): Set<string> {
    if (rolloutMs !== 0) return setting.sparePools
    const waiting = new Set(state.fleet.hosts.filter(h => h.maintainedAt < 0).map(h => h.pool))
    return new Set(setting.pools.filter(p => setting.sparePools.has(p) || !waiting.has(p)))
  }

  function moveHosts(now: number): void {
    const settled = back === undefined || mayEndLoans(back, now)
    const input = { fleet: state.fleet, needs: needs(), moveCostMs }
    pressure = observePressure({ ...input, previous: pressure, now })
    if (!settled) return
    // While the round runs, a lent host stays; it goes home through maintenance or afterwards.
    const homes = rolloutMs === 0 ? new Map<string, string>() : setting.homes
    const sparePools = lenders()
    for (const { host, to } of planMoves({ ...input, pressure, homes, sparePools }))
      state.move(host, to, now)
  }

  function withdraw(now: number): void {
    const before = setting.pools.map(pool => poolMargin(state.fleet, pool))
    const running = state.fleet.hosts
      .filter(h => h.state === 'serving')
      .map((h, i): RunningTask => {
        const team = setting.doc.teams[i % setting.doc.teams.length]?.name ?? ''
        return {
          id: `t${i}`,
          team,
          host: h.id,
          cores: 4,
          memoryGb: 16,
          checkpointable: rng() < 0.9,
        }
      })
    const shares = new Map(setting.doc.teams.map(t => [t.name, t.share]))
    const limits = new Map(setting.doc.teams.map(t => [t.name, t.limit]))
    const { homes, sparePools } = setting
    const plan = {
      fleet: state.fleet,
      needs: needs(),
      pressure,
      homes,
      sparePools,
      moveCostMs,
      zone,
    }
    const steps = policy.gradual
      ? planWithdrawal({ ...plan, running, shares, limits, inUse: new Map() })
      : []
    const lost = state.fleet.hosts.filter(h => h.zone === zone && h.state === 'serving').length
    if (!policy.gradual) result.work -= (lost * lostMs) / hourMs
    state.setZones(zoneOut(state.fleet, zone).zonesOut)
    for (const planned of steps) {
      if (planned.kind === 'lend')
        for (const { host, to } of planned.moves) state.move(host, to, now)
      if (planned.kind !== 'move') continue
      for (const { host } of planned.tasks) if (!mayStart(state.fleet, host)) state.broken.zone++
    }
    const after = setting.pools.map(pool => poolMargin(state.fleet, pool))
    if (after.some((margin, i) => margin < 0 && (before[i] ?? 0) >= 0)) state.broken.budget++
  }

  function comeBack(now: number): void {
    const sick = relapse && now < outAt + outMs + relapseMs
    if (back === undefined) {
      state.setZones(new Set())
      back = beginReturn(zone, now)
    } else {
      back = advanceReturn(back, { healthyHosts: 1, failedRequests: sick ? 1 : 0 }, now)
    }
    if (!policy.gradual) back = { ...back, step: 3 }
    const serving = state.fleet.hosts.map(h =>
      h.zone === zone ? { ...h, state: 'serving' as const } : h,
    )
    state.setServing(new Set(openHosts({ ...state.fleet, hosts: serving }, back)), zone)
  }

  function serveStep(now: number): void {
    const out = state.fleet.zonesOut.size > 0
    const load = offered(step)
    const hosts = new Map<string, number>()
    const sick = new Map<string, number>()
    for (const pool of setting.pools) {
      const zones = servingByZone(state.fleet, pool)
      const serving = [...zones.values()].reduce((a, b) => a + b, 0)
      hosts.set(
        pool,
        policy.buffer === 'zone' && !out ? Math.max(0, serving - zoneSize(pool)) : serving,
      )
      const bad = back && relapse && now < outAt + outMs + relapseMs
      sick.set(pool, bad ? (zones.get(zone) ?? 0) / Math.max(1, serving) : 0)
    }
    const used = service.serve(step, load, hosts)
    const full = new Map(setting.pools.map(pool => [pool, idealHosts(pool, out)]))
    const best = ideal.serve(step, load, full)
    for (const pool of setting.pools) {
      const [inUse, { required, covered }] = [used.get(pool) ?? 0, coverOf(setting, pool)]
      learned.set(pool, (learned.get(pool) ?? 0) * (1 - demandWeight) + inUse * demandWeight)
      const busy = Math.max(required, inUse)
      const held = heldHosts(pool)
      if (!out) {
        result.spare += policy.buffer === 'zone' ? zoneSize(pool) : Math.max(0, held - busy)
        result.spareBound += Math.max(0, covered - busy)
      }
      countExposure(pool, now)
      if (now < outAt || now >= outAt + outMs + windowMs) continue
      const room = policy.buffer === 'zone' ? busy : Math.max(held, busy)
      const done = inUse + Math.max(0, (hosts.get(pool) ?? 0) - room)
      result.work += (done * (1 - (sick.get(pool) ?? 0)) * stepMs) / hourMs
      const bestUse = best.get(pool) ?? 0
      const bestRoom = Math.max(bestUse, out ? required : covered)
      result.workBound +=
        ((bestUse + Math.max(0, (full.get(pool) ?? 0) - bestRoom)) * stepMs) / hourMs
    }
  }

  /** A budget short without a failed host is the fault of a decision. */
  function countExposure(pool: string, now: number): void {
    const serving = [...servingByZone(state.fleet, pool).values()].reduce((a, b) => a + b, 0)
    const margin =
      now < outAt ? poolMargin(state.fleet, pool) : serving - coverOf(setting, pool).required
    if (margin >= 0) return
    if (state.failed.size > 0) result.exposed++
    else state.broken.budget++
  }

  function zoneSize(pool: string): number {
    return Math.ceil(setting.hosts.filter(h => h.pool === pool).length / setting.doc.zones.length)
  }

  function idealHosts(pool: string, out: boolean): number {
    return setting.hosts.filter(h => h.pool === pool && !(out && h.zone === zone)).length
  }

  let inService = 0
  for (; ; step++) {
    const now = step * stepMs
    if (now > outAt + outMs + windowMs) break
    if (rolloutMs === 0 && !policy.calm) for (const id of fail()) state.fail(id, now)
    const gain = policy.moveGain === undefined ? {} : { moveGain: policy.moveGain }
    const choose = { homes: setting.homes, now, roundStartedAt: 0, ...gain }
    state.progress(now, host =>
      policy.join ? poolAfterMaintenance({ ...choose, fleet: state.fleet, host }) : host.pool,
    )
    if (rolloutMs === 0) {
      maintain(now)
      const done = state.fleet.hosts.every(h => h.maintainedAt >= 0 && h.state !== 'maintenance')
      if (done || now >= longestRoundMs) {
        rolloutMs = now
        outAt = now + 2 * hourMs
      }
    }
    if (policy.lend && step % 6 === 0) moveHosts(now)
    if (now === outAt) withdraw(now)
    if (
      now >= outAt + outMs &&
      !(back && isReturned(back) && policy.gradual && mayEndLoans(back, now))
    )
      comeBack(now)
    serveStep(now)
    if (state.fleet.zonesOut.size === 0) inService++
  }
  const perDay = 24 / inService
  return {
    spareHostHoursPerDay: result.spare * perDay,
    spareBound: result.spareBound * perDay,
    rolloutMs,
    maintained: state.fleet.hosts.filter(h => h.maintainedAt >= 0).length,
    moves: state.moves,
    shareDistance: service.distance.actual / Math.max(1, service.distance.steps),
    shareBound: service.distance.bound / Math.max(1, service.distance.steps),
    work: result.work,
    workBound: result.workBound,
    broken: state.broken,
    overLimit: service.overLimit,
    exposedSteps: result.exposed,
  }
}
