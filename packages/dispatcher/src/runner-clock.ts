/** Fraction by which a runner's clock may run slower than the local one. */
const maxClockDrift = 0.02

/** Margin added to the time at which all leases have ended, in milliseconds. */
const leaseEndMarginMs = 100

/** Estimate of a runner's clock, and the leases granted on that clock. */
export interface RunnerClock {
  /** Records the clock reading of an answer that arrived at local time `receivedAt`. */
  observe(clockMs: number, receivedAt: number): void
  /**
   * Deadline, on the runner's clock, of a lease of `durationMs` from local time `now`; undefined
   * before the first reading. The lease counts as granted.
   */
  grantLease(now: number, durationMs: number): number | undefined
  /** Local time by which all leases granted so far have certainly ended. */
  allLeasesEndAt(): number
  /**
   * Forgets readings and leases, because the runner has restarted. `leaseEnd` is the time by which
   * leases that it was granted since have ended on its own clock.
   */
  reset(leaseEnd: number): void
}

/**
 * Creates the clock of a runner. `assumedLeaseEnd` is the local time by which leases granted by an
 * earlier dispatcher have certainly ended.
 *
 * @example
 * const deadline = clock.grantLease(performance.now(), 5_000)
 */
export function createRunnerClock(assumedLeaseEnd: number): RunnerClock {
  let reading: { clockMs: number; at: number } | undefined
  let latestDeadline: number | undefined
  let assumedEnd = assumedLeaseEnd
  return {
    observe: (clockMs, receivedAt) => {
      if (reading === undefined || clockMs >= reading.clockMs) reading = { clockMs, at: receivedAt }
    },
    grantLease: (now, durationMs) => {
      if (reading === undefined) return undefined
      const deadline = reading.clockMs + (now - reading.at) + durationMs
      latestDeadline = Math.max(latestDeadline ?? 0, deadline)
      return deadline
    },
    allLeasesEndAt: () => {
      if (reading === undefined || latestDeadline === undefined) return assumedEnd
      const leftMs = Math.max(0, latestDeadline - reading.clockMs)
      return Math.max(assumedEnd, reading.at + leftMs * (1 + maxClockDrift) + leaseEndMarginMs)
    },
    reset: leaseEnd => {
      reading = undefined
      latestDeadline = undefined
      const leftMs = Math.max(0, leaseEnd - performance.now())
      assumedEnd = performance.now() + leftMs * (1 + maxClockDrift) + leaseEndMarginMs
    },
  }
}
