import { seededRandom } from '../packages/standins/src/index.js'
import {
  computeMoveStep,
  poolMargin,
  withHostDraining,
  type Fleet,
  type FleetHost,
  type HostRow,
} from '../packages/host-pools/src/index.js'
import { expectedDrainEnd, type WaveHost } from '../packages/maintenance/src/index.js'
import { type Setting } from './policy-fleet.js'

const minuteMs = 60_000
const maintenanceMs = 20 * minuteMs
const joinMs = 2 * minuteMs
const repairMs = 60 * minuteMs
/** Time after which a host that has not returned is missing. */
const returnSlackMs = 15 * minuteMs
/** Part of the hosts that do not return from maintenance in time. */
const missingPart = 0.005

/** Broken conditions of a run, by decisions; all should be 0. */
export interface Broken {
  budget: number
  pool: number
  zone: number
}

/** Rows of the fleet with what each host waits for. */
export interface FleetState {
  fleet: Fleet
  wave: WaveHost[]
  moves: number
  maintained: number
  broken: Broken
  /** Hosts that failed and do not serve again yet. */
  failed: Set<string>
  leave(ids: readonly string[], now: number): void
  move(id: string, to: string, now: number): void
  fail(id: string, now: number): void
  /** Ends the waits that are over; `choose` names the pool after maintenance. */
  progress(now: number, choose: (host: FleetHost) => string): void
  setZones(zones: ReadonlySet<string>): void
  setServing(ids: ReadonlySet<string>, zone: string): void
}

interface Wait {
  until: number
  then: 'maintain' | 'return' | 'move' | 'serve'
}

export function createState(setting: Setting, seed: number): FleetState {
  const rng = seededRandom(seed)
  const rows = new Map<string, HostRow>(setting.hosts.map(h => [h.id, { version: 1, host: h }]))
  const waits = new Map<string, Wait>()
  const state: FleetState = {
    fleet: { hosts: setting.hosts, budgets: setting.budgets, zonesOut: new Set() },
    wave: [],
    moves: 0,
    maintained: 0,
    broken: { budget: 0, pool: 0, zone: 0 },
    failed: new Set(),
    leave,
    move,
    fail,
    progress,
    setZones(zonesOut) {
      state.fleet = { ...state.fleet, zonesOut }
    },
    setServing(ids, zone) {
      for (const { host } of [...rows.values()]) {
        if (host.zone !== zone || waits.has(host.id) || host.state === 'failed') continue
        put({ ...host, state: ids.has(host.id) ? 'serving' : 'joining' })
      }
    },
  }

  function put(host: FleetHost): void {
    rows.set(host.id, { version: (rows.get(host.id)?.version ?? 0) + 1, host })
    refresh()
  }

  function refresh(): void {
    state.fleet = { ...state.fleet, hosts: [...rows.values()].map(({ host }) => host) }
    if (state.fleet.hosts.some(({ pool }) => !setting.pools.includes(pool))) state.broken.pool++
  }

  function drainEnd(now: number): number {
    const work = Array.from({ length: 8 }, () => {
      const task = { endsBy: now + rng() * 10 * minuteMs, checkpointBy: now + 30_000 }
      return rng() < 0.1 ? { endsBy: now + rng() * 3 * minuteMs } : task
    })
    return expectedDrainEnd(work, now)
  }

  function leave(ids: readonly string[], now: number): void {
    for (const id of ids) {
      const host = rows.get(id)?.host
      if (host?.state !== 'serving') continue
      const margin = poolMargin(withHostDraining(state.fleet, id), host.pool)
      if (margin < 0) state.broken.budget++
      const until = drainEnd(now)
      put({ ...host, state: 'draining' })
      waits.set(id, { until, then: 'maintain' })
      state.wave.push({ id, backBy: until + maintenanceMs + joinMs + returnSlackMs })
    }
  }

  function move(id: string, to: string, now: number): void {
    const row = rows.get(id)
    if (!row) return
    if (poolMargin(withHostDraining(state.fleet, id), row.host.pool) < 0) state.broken.budget++
    const result = computeMoveStep('drain', row, to, row.version)
    if (!result.moved) return
    rows.set(id, result.row)
    refresh()
    waits.set(id, { until: drainEnd(now), then: 'move' })
  }

  function fail(id: string, now: number): void {
    const host = rows.get(id)?.host
    if (!host) return
    put({ ...host, state: 'failed' })
    state.failed.add(id)
    waits.set(id, { until: now + repairMs, then: 'return' })
  }

  const ends: Record<
    Wait['then'],
    (row: HostRow, now: number, choose: (host: FleetHost) => string) => void
  > = {
    maintain({ host }, now) {
      put({ ...host, state: 'maintenance' })
      const missing = rng() < missingPart ? repairMs : 0
      waits.set(host.id, {
        until: now + maintenanceMs * (0.9 + 0.2 * rng()) + missing,
        then: 'return',
      })
    },
    return({ host }, now, choose) {
      if (host.state === 'maintenance') state.maintained++
      const maintainedAt = host.state === 'maintenance' ? now : host.maintainedAt
      const pool = choose(host)
      if (pool !== host.pool) state.moves++
      put({ ...host, pool, maintainedAt, state: 'joining' })
      waits.set(host.id, { until: now + joinMs, then: 'serve' })
    },
    move(row, now) {
      const left = computeMoveStep('leave', row, row.movingTo ?? row.host.pool, row.version)
      if (!left.moved) return
      rows.set(row.host.id, left.row)
      refresh()
      state.moves++
      waits.set(row.host.id, { until: now + joinMs, then: 'serve' })
    },
    serve({ host }) {
      put({ ...host, state: 'serving' })
      state.failed.delete(host.id)
      state.wave = state.wave.map(w => (w.id === host.id ? { ...w, healthy: true } : w))
    },
  }

  function progress(now: number, choose: (host: FleetHost) => string): void {
    for (const [id, wait] of [...waits]) {
      const row = rows.get(id)
      if (wait.until > now || !row) continue
      waits.delete(id)
      ends[wait.then](row, now, choose)
    }
    const recent = now - 60 * minuteMs
    state.wave = state.wave.filter(w => w.healthy === undefined || w.backBy > recent)
  }

  return state
}
