import type { Fleet } from '@bulrushbridge/host-pools'
import {
  planMaintenanceWave,
  reviewMaintenanceWave,
  type HaltReason,
  type WaveHost,
} from '@bulrushbridge/maintenance'
import { maintenanceFleet, roundStart, type FleetConfiguration } from './fleet-configuration.js'
import type { FleetHostRow } from './rows.js'

/** A wave with a host that is away or has failed to return. */
export interface RunningWave {
  id: string
  hosts: WaveHost[]
}

/** What the hosts' rows and the rules of maintenance allow now. */
export interface WavePlan {
  /** The wave that the hosts leave in. */
  wave: string
  /** Why no host leaves; empty while the wave may continue. */
  halt: HaltReason[]
  unhealthy: string[]
  missing: string[]
  leave: string[]
}

/**
 * The wave in progress. It lasts until each of its hosts has returned healthy or was removed from
 * the inventory, so that a halt outlives the holder of the duty.
 */
export function runningWave(rows: readonly FleetHostRow[]): RunningWave | undefined {
  const unfinished = rows.flatMap(({ wave, outcome }) =>
    wave !== undefined && outcome !== 'healthy' ? [Number(wave)] : [],
  )
  if (unfinished.length === 0) return undefined
  const id = String(Math.max(...unfinished))
  return { id, hosts: rows.filter(({ wave }) => wave === id).map(asWaveHost) }
}

function asWaveHost({ id, state, backBy, outcome }: FleetHostRow): WaveHost {
  if (outcome === 'missing') return { id, backBy: Number.NEGATIVE_INFINITY }
  if (outcome !== undefined) return { id, backBy: 0, healthy: outcome === 'healthy' }
  // A drain lasts as long as the work does; the return deadline is set with the reboot.
  const isAway = state === 'maintenance' || state === 'joining'
  return { id, backBy: (isAway ? backBy : undefined) ?? Number.POSITIVE_INFINITY }
}

/**
 * Plans which hosts leave now, as part of the running wave or of a new one.
 *
 * @example
 * const { wave, leave } = planMaintenance({ cfg, fleet, rows, now: Date.now() })
 */
export function planMaintenance(opts: {
  cfg: FleetConfiguration
  /** Zones that are still returning count as out. */
  fleet: Fleet
  rows: readonly FleetHostRow[]
  /** Wall-clock milliseconds. */
  now: number
}): WavePlan {
  const { cfg, fleet, rows, now } = opts
  const running = runningWave(rows)
  const wave = running?.id ?? newWave(rows, now)
  const review = running && reviewMaintenanceWave({ fleet, wave: running.hosts, now })
  if (review !== undefined && review.halt.length > 0) {
    return { wave, ...review, leave: [] }
  }
  const { hosts: leave } = planMaintenanceWave({
    fleet: maintenanceFleet(cfg, fleet),
    now,
    periodMs: cfg.periodMs,
    roundStartedAt: roundStart(cfg, now),
  })
  return { wave, halt: [], unhealthy: [], missing: [], leave }
}

/** Ids rise even when the wall clock of the next holder is behind. */
function newWave(rows: readonly FleetHostRow[], now: number): string {
  return String(Math.max(Math.floor(now), ...rows.map(({ wave }) => Number(wave ?? 0) + 1)))
}
