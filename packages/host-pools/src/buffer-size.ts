import type { ServiceBudget } from './fleet.js'

/** Input of {@link bufferSize}. */
export interface BufferOptions {
  budget: ServiceBudget
  /** Zones over which the pool's hosts are spread evenly. */
  zones: number
  /** Learned failures of one host per hour. */
  failuresPerHostHour: number
  /** Time until a failed host is replaced by a lent one, in hours. */
  replaceHours: number
  /** Learned demand in hosts, a high percentile of windows as long as a move. */
  demandHosts: number
}

/** Result of {@link bufferSize}, in hosts. */
export interface BufferSize {
  /** Hosts that the pool keeps. */
  hosts: number
  /** Hosts kept beyond what is required. */
  buffer: number
  /** Hosts of the buffer that cover single failures. */
  failures: number
}

/** Accepted probability that more hosts fail than the buffer covers before one is replaced. */
const failureRisk = 0.01

/** Smallest number of hosts spread evenly over zones that keeps `need` after losing the worst zones. */
export function hostsForZoneLoss(need: number, zones: number, losses: number): number {
  if (zones <= losses) return Number.POSITIVE_INFINITY
  let hosts = need
  while (hosts - worstLoss(hosts, zones, losses) < need) hosts++
  return hosts
}

function worstLoss(hosts: number, zones: number, losses: number): number {
  return losses * Math.floor(hosts / zones) + Math.min(losses, hosts % zones)
}

/** Fewest failures whose Poisson tail beyond them is within the risk. */
function coveredFailures(mean: number): number {
  let count = 0
  let term = Math.exp(-mean)
  let tail = 1 - term
  while (tail > failureRisk) {
    count++
    term *= mean / count
    tail -= term
  }
  return count
}

/**
 * Size of a pool's buffer. The worst zone is covered for the larger of the promise and the demand;
 * failures are covered only for the time until a lent host replaces the failed one.
 *
 * @example
 * bufferSize({ budget, zones: 4, failuresPerHostHour: 0.0006, replaceHours: 0.1, demandHosts: 3 })
 */
export function bufferSize(opts: BufferOptions): BufferSize {
  const { budget, zones } = opts
  const need = Math.max(budget.required, Math.ceil(opts.demandHosts))
  const covered = hostsForZoneLoss(need, zones, budget.zoneFailures)
  const failures = coveredFailures(covered * opts.failuresPerHostHour * opts.replaceHours)
  const hosts = covered + failures
  return { hosts, buffer: hosts - budget.required, failures }
}
