import type { ServiceBudget } from './fleet.js'

/** Input of {@link bufferSize}. */
export interface BufferOptions {
  budget: ServiceBudget
  /** Zones over which the pool's hosts are spread evenly. */
  zones: number
  /** Measured failures of one host per hour. */
  failuresPerHostHour: number
  /** Time until a host lent by another pool replaces a failed one, in hours. */
  replaceHours: number
  /** Measured demand in hosts: a high percentile over time windows as long as a move. */
  demandHosts: number
}

/** Result of {@link bufferSize}, in hosts. */
export interface BufferSize {
  /** All hosts that the pool keeps. */
  hosts: number
  /** Hosts kept beyond those that the budget requires. */
  buffer: number
  /** Hosts of the buffer that cover failures of single hosts. */
  failures: number
}

/**
 * Highest accepted probability that more hosts fail before a replacement than the buffer covers.
 */
const maxUncoveredProbability = 0.01

/**
 * Smallest number of hosts, spread evenly over the zones, of which `need` remain after the loss of
 * the `losses` zones with most hosts. Infinite when no zone would remain.
 */
export function hostsForZoneLoss(need: number, zones: number, losses: number): number {
  if (zones <= losses) return Number.POSITIVE_INFINITY
  let hosts = need
  while (hosts - worstLoss(hosts, zones, losses) < need) hosts++
  return hosts
}

/** Hosts in the `losses` zones with most hosts, when all are spread evenly over the zones. */
function worstLoss(hosts: number, zones: number, losses: number): number {
  return losses * Math.floor(hosts / zones) + Math.min(losses, hosts % zones)
}

/**
 * Smallest number of failures that is exceeded with at most the accepted probability, for failures
 * that follow a Poisson distribution with this mean.
 */
function failuresToCover(mean: number): number {
  let count = 0
  let term = Math.exp(-mean)
  let tail = 1 - term
  while (tail > maxUncoveredProbability) {
    count++
    term *= mean / count
    tail -= term
  }
  return count
}

/**
 * Calculates the size of a pool's buffer. After the loss of the worst zones, the pool still has the
 * larger of the required hosts and the demand. Single host failures are covered only for the time
 * until a lent host replaces the failed one.
 *
 * @example
 * bufferSize({ budget, zones: 4, failuresPerHostHour: 0.0006, replaceHours: 0.1, demandHosts: 3 })
 */
export function bufferSize(opts: BufferOptions): BufferSize {
  const { budget, zones } = opts
  const need = Math.max(budget.required, Math.ceil(opts.demandHosts))
  const hostsWithoutFailures = hostsForZoneLoss(need, zones, budget.zoneFailures)
  const failures = failuresToCover(
    hostsWithoutFailures * opts.failuresPerHostHour * opts.replaceHours,
  )
  const hosts = hostsWithoutFailures + failures
  return { hosts, buffer: hosts - budget.required, failures }
}
