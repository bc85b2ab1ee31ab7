/** Source of time, passed to everything that reads it so that tests can control it. */
export interface Clock {
  /** Monotonic milliseconds. */
  now(): number
}

/** The clock of programs; it never goes back and does not follow changes of the wall clock. */
export const systemClock: Clock = { now: () => performance.now() }
