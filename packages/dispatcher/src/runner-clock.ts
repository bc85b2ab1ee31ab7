/** A runner's clock may run this much slower than others. */
const maxClockDrift = 0.02

/** Added to the time at which a lease has ended for certain, in milliseconds. */
const leaseSlackMs = 100

/** A runner's clock as seen from here, and the leases given on it. */
export interface RunnerClock {
  /** Takes a reading from an answer that arrived at `receivedAt`. */
  observe(clockMs: number, receivedAt: number): void
  /** Deadline of a lease of `leaseMs` from now; undefined before the first reading. */
  deadline(now: number, leaseMs: number): number | undefined
  /** Local time at which all leases given so far have ended for certain. */
  leaseEnd(): number
  /** The runner began anew: readings and leases of the earlier life mean nothing. */
  reset(): void
}

/**
 * Creates the clock of a runner. `assumedLeaseEnd` is when leases given by an earlier dispatcher
 * have ended for certain.
 *
 * @example
 * const deadline = clock.deadline(performance.now(), 5_000)
 */
export function createRunnerClock(assumedLeaseEnd: number): RunnerClock {
  let reading: { clockMs: number; at: number } | undefined
  let longest: number | undefined
  let assumedEnd = assumedLeaseEnd
  return {
    observe: (clockMs, receivedAt) => {
      if (reading === undefined || clockMs >= reading.clockMs) reading = { clockMs, at: receivedAt }
    },
    deadline: (now, leaseMs) => {
      if (reading === undefined) return undefined
      const deadline = reading.clockMs + (now - reading.at) + leaseMs
      longest = Math.max(longest ?? 0, deadline)
      return deadline
    },
    leaseEnd: () => {
      if (reading === undefined || longest === undefined) return assumedEnd
      const leftMs = Math.max(0, longest - reading.clockMs)
      return Math.max(assumedEnd, reading.at + leftMs * (1 + maxClockDrift) + leaseSlackMs)
    },
    reset: () => {
      reading = undefined
      longest = undefined
      assumedEnd = 0
    },
  }
}
