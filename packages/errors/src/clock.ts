/** Source of time. Code that reads the time takes a clock as an option, which tests control. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  now(): number
}

/** Monotonic clock of the process; changes of the wall clock do not affect it. */
export const systemClock: Clock = { now: () => performance.now() }
