import { withHosts, type Fleet } from '@bulrushbridge/host-pools'
import { freeMargins } from './plan-wave.js'

/** A host of a wave in progress. */
export interface WaveHost {
  id: string
  /** Time by which the host must be back; includes the drain. */
  backBy: number
  /** Set when the host returned: whether its health checks and first work succeeded. */
  healthy?: boolean
}

/** Why a wave halts. */
export type HaltReason = 'unhealthy-return' | 'host-missing' | 'budget-low'

/** Result of {@link reviewWave}. */
export interface WaveReview {
  /** Empty while the wave may continue. */
  halt: HaltReason[]
  /** Hosts that did not return in time. They are counted as failed. */
  missing: string[]
  /** Hosts that returned unhealthy. They are counted as failed. */
  unhealthy: string[]
  /** Pools short of a budget; none of their hosts leaves, by the rule of `mayLeave`. */
  lowPools: string[]
  /** The fleet with missing and unhealthy hosts counted as failed. */
  fleet: Fleet
}

/** Part of the returned hosts that may be unhealthy before the wave halts. */
const toleratedUnhealthy = 0.1

/**
 * Pools short at once that halt the whole wave. One is mostly a single failure, which the next host
 * to return makes good; two are a sign of a correlated failure that may go on.
 */
const lowPoolsToHalt = 2

/** Part of the wave's hosts that may be missing before it halts. */
const toleratedMissing = 0.1

/**
 * Reviews a wave in progress. It halts when what returned is unhealthy, when hosts stay away, or
 * when several pools would fall short of a budget should the worst zone go; for a single pool, only
 * that pool's part of the wave halts. A halted wave sends out
 * no further host; hosts that are away still return.
 *
 * @example
 * const { halt, fleet } = reviewWave({ fleet, wave, now })
 */
export function reviewWave(opts: {
  fleet: Fleet
  wave: readonly WaveHost[]
  now: number
}): WaveReview {
  const returned = opts.wave.filter(({ healthy }) => healthy !== undefined)
  const unhealthy = returned.filter(({ healthy }) => healthy === false).map(({ id }) => id)
  const missing = opts.wave
    .filter(({ healthy, backBy }) => healthy === undefined && backBy < opts.now)
    .map(({ id }) => id)
  const lost = new Set([...missing, ...unhealthy])
  const fleet = withHosts(opts.fleet, host =>
    lost.has(host.id) ? { ...host, state: 'failed' } : host,
  )
  const halt: HaltReason[] = []
  if (unhealthy.length > toleratedUnhealthy * returned.length) halt.push('unhealthy-return')
  if (missing.length > toleratedMissing * opts.wave.length) halt.push('host-missing')
  const lowPools = [...freeMargins(fleet)].filter(([, margin]) => margin < 0).map(([pool]) => pool)
  if (lowPools.length >= lowPoolsToHalt) halt.push('budget-low')
  return { halt, missing, unhealthy, lowPools, fleet }
}
