import type { FleetSetup } from './policy-fleet.js'
import { computeRequiredHosts } from './policy-service.js'
import type { RunResult } from './policy-types.js'

/**
 * Mean duration of a drain, as `drawDrainEnd` draws it. A host has 8 tasks. Each takes 0.5 min to
 * checkpoint, or with probability 0.1 cannot be checkpointed and ends after a time that is uniform
 * over 0 to 3 min. The mean of the longest is 0.5 plus the integral of `1 - (0.9 + x / 30) ** 8`
 * from 0.5 to 3, which is `0.5 + 2.5 - (30 / 9) * (1 - (0.9 + 0.5 / 30) ** 9)`.
 */
const meanDrainMinutes = 3 - (30 / 9) * (1 - (0.9 + 0.5 / 30) ** 9)

/** Mean time out of service: the drain, 20 min of maintenance and 2 min until the host serves. */
const meanAbsenceMs = (meanDrainMinutes + 20 + 2) * 60_000

/**
 * Computes a lower bound of the length of a maintenance round, in milliseconds. Of `n` hosts, `k`
 * must serve so that each budget is met if the worst zone fails. At most `n - k` hosts are out of
 * service at once, each for `meanAbsenceMs`, so the bound is `n / (n - k) * meanAbsenceMs`. For
 * services that must survive the loss of one zone, `k` is the sum over services of the smallest `m`
 * for which `m - ceil(m / zones) >= required`.
 */
export function computeRolloutBoundMs(setup: FleetSetup): number {
  const requiredHosts = setup.pools.reduce(
    (sum, pool) => sum + computeRequiredHosts(setup, pool).requiredWithReserve,
    0,
  )
  const totalHosts = setup.hosts.length
  return (totalHosts / (totalHosts - requiredHosts)) * meanAbsenceMs
}

/**
 * Measured quantities by figure name, with their theoretical bounds:
 *
 * - Buffer cost: the sum over pools and time of `max(0, k_p - max(required_p, used_p))`, where
 *   `k_p` hosts must serve so that the budget is met if the worst zone fails.
 * - Roll-out: see {@link computeRolloutBoundMs}.
 * - Host moves: 0.
 * - Share distance: that of the largest remainder method, because only whole requests are served.
 * - Zone work: `used + max(0, hosts - max(reserve, used))` per pool, where the whole zone leaves
 *   and returns at once, no host fails and moves take no time. A host lent to another pool is
 *   missing in its own.
 */
export const quantities: Record<
  string,
  {
    unit: string
    value: (result: RunResult) => number
    bound: (result: RunResult, setup: FleetSetup) => number
  }
> = {
  'policy-buffer-cost': {
    unit: 'host-hours/day',
    value: result => result.spareHostHoursPerDay,
    bound: result => result.spareBoundHostHoursPerDay,
  },
  'policy-rollout': {
    unit: 'minutes',
    value: result => result.rolloutMs / 60_000,
    bound: (_, setup) => computeRolloutBoundMs(setup) / 60_000,
  },
  'policy-host-moves': { unit: 'moves', value: result => result.moves, bound: () => 0 },
  'policy-share-distance': {
    unit: 'part',
    value: result => result.shareDistance,
    bound: result => result.shareDistanceBound,
  },
  'policy-zone-work': {
    unit: 'host-hours',
    value: result => result.workHostHours,
    bound: result => result.workBoundHostHours,
  },
}
