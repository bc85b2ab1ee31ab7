import type { Fleet } from '@bulrushbridge/host-pools'
import {
  planMaintenanceWave,
  reviewMaintenanceWave,
  type HaltReason,
  type WaveHost,
} from '@bulrushbridge/maintenance'
import {
  addMaintenanceBudgets,
  computeRoundStart,
  type FleetConfiguration,
} from './fleet-configuration.js'
import type { FleetHostRow } from './rows.js'

/** A wave of which at least one host has not returned healthy. */
export interface RunningWave {
  id: string
  hosts: WaveHost[]
}

/** Which hosts may start maintenance now, or why none may. */
export interface WavePlan {
  /** Id of the wave that the hosts are part of. */
  wave: string
  /** Reasons for which no host may leave; empty while the wave may continue. */
  halt: HaltReason[]
  /** Hosts of the wave that returned unhealthy. */
  unhealthy: string[]
  /** Hosts of the wave that did not return in time. */
  missing: string[]
  /** Hosts that start their drain now. */
  leavingHosts: string[]
}

/**
 * Finds the wave in progress. It lasts until each of its hosts has returned healthy or was removed
 * from the inventory, so that the next lease holder finds a halted wave still halted.
 */
export function findRunningWave(rows: readonly FleetHostRow[]): RunningWave | undefined {
  const unfinishedWaves = rows.flatMap(({ wave, outcome }) =>
    wave !== undefined && outcome !== 'healthy' ? [Number(wave)] : [],
  )
  if (unfinishedWaves.length === 0) return undefined
  const id = String(Math.max(...unfinishedWaves))
  return { id, hosts: rows.filter(({ wave }) => wave === id).map(toWaveHost) }
}

/** Converts a row to the host that the review of the wave takes. */
function toWaveHost({ id, state, backBy, outcome }: FleetHostRow): WaveHost {
  if (outcome === 'missing') return { id, backBy: Number.NEGATIVE_INFINITY }
  if (outcome !== undefined) return { id, backBy: 0, healthy: outcome === 'healthy' }
  // A drain lasts as long as the work does; the return deadline is set with the reboot.
  const isRebootingOrOpening = state === 'maintenance' || state === 'joining'
  return { id, backBy: (isRebootingOrOpening ? backBy : undefined) ?? Number.POSITIVE_INFINITY }
}

/**
 * Plans which hosts leave for maintenance now, as part of the running wave or of a new one.
 *
 * @example
 * const { wave, leavingHosts } = planMaintenance({ cfg, fleet, rows, now: Date.now() })
 */
export function planMaintenance(opts: {
  cfg: FleetConfiguration
  /** The fleet, where zones that are still returning count as out. */
  fleet: Fleet
  rows: readonly FleetHostRow[]
  /** Wall-clock milliseconds. */
  now: number
}): WavePlan {
  const { cfg, fleet, rows, now } = opts
  const running = findRunningWave(rows)
  const wave = running?.id ?? createWaveId(rows, now)
  const review = running && reviewMaintenanceWave({ fleet, wave: running.hosts, now })
  if (review !== undefined && review.halt.length > 0) {
    return { wave, ...review, leavingHosts: [] }
  }
  const { hosts: leavingHosts } = planMaintenanceWave({
    fleet: addMaintenanceBudgets(cfg, fleet),
    now,
    periodMs: cfg.periodMs,
    roundStartedAt: computeRoundStart(cfg, now),
  })
  return { wave, halt: [], unhealthy: [], missing: [], leavingHosts }
}

/**
 * Creates a higher wave id than every earlier one, even if the wall clock is behind that of a
 * former lease holder.
 */
function createWaveId(rows: readonly FleetHostRow[], now: number): string {
  return String(Math.max(Math.floor(now), ...rows.map(({ wave }) => Number(wave ?? 0) + 1)))
}
