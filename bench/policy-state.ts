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
import { type FleetSetup } from './policy-fleet.js'

const minuteMs = 60_000

/** Mean duration of maintenance; it varies by 10% in both directions. */
const meanMaintenanceMs = 20 * minuteMs

/** Time from the end of maintenance, repair or a drain until the host serves. */
const joinMs = 2 * minuteMs

/** Time to repair a failed host, and the delay of a host that does not return in time. */
const repairMs = 60 * minuteMs

/** Time after its expected return at which a host counts as missing. */
const returnSlackMs = 15 * minuteMs

/** Probability that a host does not return from maintenance in time. */
const missingProbability = 0.005

/** Numbers of violations that decisions of the policy caused, not failures; all should be 0. */
export interface Violations {
  /** Availability budgets not met, or not met if the worst zone failed. */
  budget: number
  /** States of the fleet with a host in a pool that does not exist. */
  pool: number
  /** Tasks placed on a host that may not start work, for example in a zone that is out. */
  zone: number
}

/** Simulated fleet, with the next transition of each host. Times are in milliseconds. */
export interface FleetState {
  fleet: Fleet
  /** Hosts of the maintenance wave in progress. */
  wave: WaveHost[]
  /** Completed changes of pool. */
  moveCount: number
  /** Completed maintenances. */
  maintainedCount: number
  violations: Violations
  /** Ids of hosts that failed and do not serve again yet. */
  failedHosts: Set<string>
  /** Starts the drain for maintenance of the hosts that are serving. */
  startMaintenance(ids: readonly string[], now: number): void
  /** Starts the drain of a host that moves to another pool, if the host is serving. */
  startMove(id: string, targetPool: string, now: number): void
  /** Marks a host as failed and schedules its repair. */
  failHost(id: string, now: number): void
  /**
   * Completes the transitions that are due. `choosePool` returns the pool that a host joins after
   * maintenance or repair.
   */
  advance(now: number, choosePool: (host: FleetHost) => string): void
  setZonesOut(zonesOut: ReadonlySet<string>): void
  /**
   * Lets only the given hosts of a zone serve; failed hosts and those in transition are unchanged.
   */
  setServingHosts(ids: ReadonlySet<string>, zone: string): void
}

/** The next change of state of a host. */
interface Transition {
  dueAt: number
  kind: 'maintain' | 'return' | 'move' | 'serve'
}

/**
 * Creates the simulated fleet with all hosts serving.
 *
 * @example
 * const state = createState(createFleetSetup('lumenfit'), 1)
 */
export function createState(setup: FleetSetup, seed: number): FleetState {
  const rng = seededRandom(seed)
  const rows = new Map<string, HostRow>(setup.hosts.map(h => [h.id, { version: 1, host: h }]))
  const transitions = new Map<string, Transition>()
  const state: FleetState = {
    fleet: { hosts: setup.hosts, budgets: setup.budgets, zonesOut: new Set() },
    wave: [],
    moveCount: 0,
    maintainedCount: 0,
    violations: { budget: 0, pool: 0, zone: 0 },
    failedHosts: new Set(),
    startMaintenance,
    startMove,
    failHost,
    advance,
    setZonesOut(zonesOut) {
      state.fleet = { ...state.fleet, zonesOut }
    },
    setServingHosts(ids, zone) {
      for (const { host } of [...rows.values()]) {
        if (host.zone !== zone || transitions.has(host.id) || host.state === 'failed') continue
        writeHost({ ...host, state: ids.has(host.id) ? 'serving' : 'joining' })
      }
    },
  }

  function writeHost(host: FleetHost): void {
    rows.set(host.id, { version: (rows.get(host.id)?.version ?? 0) + 1, host })
    refreshFleet()
  }

  function refreshFleet(): void {
    state.fleet = { ...state.fleet, hosts: [...rows.values()].map(({ host }) => host) }
    if (state.fleet.hosts.some(({ pool }) => !setup.pools.includes(pool))) state.violations.pool++
  }

  /** Draws the tasks of a host at random and returns the time at which its drain ends. */
  function drawDrainEnd(now: number): number {
    const tasks = Array.from({ length: 8 }, () => {
      const task = { endsBy: now + rng() * 10 * minuteMs, checkpointBy: now + 30_000 }
      return rng() < 0.1 ? { endsBy: now + rng() * 3 * minuteMs } : task
    })
    return expectedDrainEnd(tasks, now)
  }

  function startMaintenance(ids: readonly string[], now: number): void {
    for (const id of ids) {
      const host = rows.get(id)?.host
      if (host?.state !== 'serving') continue
      const margin = poolMargin(withHostDraining(state.fleet, id), host.pool)
      if (margin < 0) state.violations.budget++
      const dueAt = drawDrainEnd(now)
      writeHost({ ...host, state: 'draining' })
      transitions.set(id, { dueAt, kind: 'maintain' })
      state.wave.push({ id, backBy: dueAt + meanMaintenanceMs + joinMs + returnSlackMs })
    }
  }

  function startMove(id: string, targetPool: string, now: number): void {
    const row = rows.get(id)
    if (!row) return
    if (poolMargin(withHostDraining(state.fleet, id), row.host.pool) < 0) state.violations.budget++
    const result = computeMoveStep('drain', row, targetPool, row.version)
    if (!result.moved) return
    rows.set(id, result.row)
    refreshFleet()
    transitions.set(id, { dueAt: drawDrainEnd(now), kind: 'move' })
  }

  function failHost(id: string, now: number): void {
    const host = rows.get(id)?.host
    if (!host) return
    writeHost({ ...host, state: 'failed' })
    state.failedHosts.add(id)
    transitions.set(id, { dueAt: now + repairMs, kind: 'return' })
  }

  const completeByKind: Record<
    Transition['kind'],
    (row: HostRow, now: number, choosePool: (host: FleetHost) => string) => void
  > = {
    maintain({ host }, now) {
      writeHost({ ...host, state: 'maintenance' })
      const extraMs = rng() < missingProbability ? repairMs : 0
      transitions.set(host.id, {
        dueAt: now + meanMaintenanceMs * (0.9 + 0.2 * rng()) + extraMs,
        kind: 'return',
      })
    },
    return({ host }, now, choosePool) {
      if (host.state === 'maintenance') state.maintainedCount++
      const maintainedAt = host.state === 'maintenance' ? now : host.maintainedAt
      const pool = choosePool(host)
      if (pool !== host.pool) state.moveCount++
      writeHost({ ...host, pool, maintainedAt, state: 'joining' })
      transitions.set(host.id, { dueAt: now + joinMs, kind: 'serve' })
    },
    move(row, now) {
      const result = computeMoveStep('leave', row, row.movingTo ?? row.host.pool, row.version)
      if (!result.moved) return
      rows.set(row.host.id, result.row)
      refreshFleet()
      state.moveCount++
      transitions.set(row.host.id, { dueAt: now + joinMs, kind: 'serve' })
    },
    serve({ host }) {
      writeHost({ ...host, state: 'serving' })
      state.failedHosts.delete(host.id)
      state.wave = state.wave.map(w => (w.id === host.id ? { ...w, healthy: true } : w))
    },
  }

  function advance(now: number, choosePool: (host: FleetHost) => string): void {
    for (const [id, transition] of [...transitions]) {
      const row = rows.get(id)
      if (transition.dueAt > now || !row) continue
      transitions.delete(id)
      completeByKind[transition.kind](row, now, choosePool)
    }
    // A returned host is removed from the wave one hour after its `backBy` time.
    const oldestBackBy = now - 60 * minuteMs
    state.wave = state.wave.filter(w => w.healthy === undefined || w.backBy > oldestBackBy)
  }

  return state
}
