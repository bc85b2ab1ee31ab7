import { mapHosts, type Fleet } from '@bulrushbridge/host-pools'
import { marginsByPool } from './plan-wave.js'

/** A host of a wave in progress. */
export interface WaveHost {
  id: string
  /** Time by which the host must have returned; it includes the time for the drain. */
  backBy: number
  /** Whether health checks and first work succeeded after the return. Absent until it returns. */
  healthy?: boolean
}

/** Why a wave halts. */
export type HaltReason = 'unhealthy-return' | 'host-missing' | 'budget-low'

/** Result of {@link reviewMaintenanceWave}. */
export interface WaveReview {
  /** Empty while the wave may continue. */
  halt: HaltReason[]
  /** Hosts that did not return in time. They are counted as failed. */
  missing: string[]
  /** Hosts that returned unhealthy. They are counted as failed. */
  unhealthy: string[]
  /** Pools that do not meet a budget. `checkDrain` allows none of their hosts to be drained. */
  lowPools: string[]
  /** The fleet with missing and unhealthy hosts counted as failed. */
  fleet: Fleet
}

/** Fraction of the returned hosts above which unhealthy hosts halt the wave. */
const maxUnhealthyFraction = 0.1

/**
 * Number of pools below a budget at which the whole wave halts. A single pool is usually the effect
 * of one host failure, which the next returning host compensates. Two pools indicate a correlated
 * failure that may continue.
 */
const minLowPoolsToHalt = 2

/** Fraction of the wave's hosts above which missing hosts halt the wave. */
const maxMissingFraction = 0.1

/**
 * Reviews a wave in progress. The wave halts when too many returned hosts are unhealthy, when too
 * many hosts do not return in time, or when several pools would not meet a budget if the worst zone
 * failed. If only one pool would not, only that pool's part of the wave halts. A halted wave drains
 * no further hosts; hosts that are out of service still return.
 *
 * @example
 * const { halt, fleet } = reviewMaintenanceWave({ fleet, wave, now })
 */
export function reviewMaintenanceWave(opts: {
  fleet: Fleet
  wave: readonly WaveHost[]
  now: number
}): WaveReview {
  const returned = opts.wave.filter(({ healthy }) => healthy !== undefined)
  const unhealthy = returned.filter(({ healthy }) => healthy === false).map(({ id }) => id)
  const missing = opts.wave
    .filter(({ healthy, backBy }) => healthy === undefined && backBy < opts.now)
    .map(({ id }) => id)
  const failedIds = new Set([...missing, ...unhealthy])
  const fleet = mapHosts(opts.fleet, host =>
    failedIds.has(host.id) ? { ...host, state: 'failed' } : host,
  )
  const halt: HaltReason[] = []
  if (unhealthy.length > maxUnhealthyFraction * returned.length) halt.push('unhealthy-return')
  if (missing.length > maxMissingFraction * opts.wave.length) halt.push('host-missing')
  const lowPools = [...marginsByPool(fleet)]
    .filter(([, margin]) => margin < 0)
    .map(([pool]) => pool)
  if (lowPools.length >= minLowPoolsToHalt) halt.push('budget-low')
  return { halt, missing, unhealthy, lowPools, fleet }
}
