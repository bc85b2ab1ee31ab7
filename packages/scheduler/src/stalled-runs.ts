/** A run as the search for stalled runs sees it; times are of one clock, in milliseconds. */
export interface ObservedRun {
  startedAt: number
  /** When its progress last changed. */
  progressAt: number
  /** Expected time of the whole task. */
  estimateMs: number
}

/** A run may take this many times its expected time before it can count as stalled. */
const overrunFactor = 2.5

/** Time beyond the expected one that every run has, since estimates of short tasks are rough. */
const overrunMs = 2_000

/** Time without any progress after which an overdue run counts as stalled, in milliseconds. */
const noProgressMs = 2_500

/**
 * Whether a run stands still: it is overdue and its runner has reported no progress for a while. A
 * run that is merely slow goes on, because a second start would lose its work.
 *
 * @example
 * if (isStalled({ startedAt: 0, progressAt: 0, estimateMs: 800 }, 6_000)) await session.stop(occupant)
 */
export function isStalled(run: ObservedRun, now: number): boolean {
  const limitMs = Math.max(overrunFactor * run.estimateMs, run.estimateMs + overrunMs)
  return now - run.startedAt > limitMs && now - run.progressAt > noProgressMs
}
