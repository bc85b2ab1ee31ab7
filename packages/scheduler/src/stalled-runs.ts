/** A run to check with {@link isStalled}; times are readings of one clock, in milliseconds. */
export interface ObservedRun {
  startedAt: number
  /** When its reported progress last changed. */
  progressAt: number
  /** Expected run time of the whole task. */
  estimateMs: number
  /** Run time that hardly any task of its kind exceeds; 0, the default, if not known. */
  longMs?: number
  /** How many times as long as elsewhere runs take on the runner; 1 by default. */
  speedFactor?: number
  /** None of the runs on the runner progresses, see `runnerStateOf`. */
  isRunnerStuck?: boolean
}

/** A run is overdue only after this many times its expected time. */
const overrunFactor = 2.5

/**
 * Minimum time beyond the expected one before a run is overdue, in milliseconds, since estimates of
 * short tasks are rough.
 */
const minOverrunMs = 2_000

/** Time without progress after which an overdue run counts as stalled, in milliseconds. */
const noProgressMs = 2_500

/**
 * Whether a run is stalled: it is overdue and its runner has reported no progress for a while. A
 * run that is merely slow continues, because a restart would lose its work. On a runner that is stuck
 * a run is overdue at its expected time, even if some tasks of its kind take longer.
 *
 * @example
 * const run = { startedAt: 0, progressAt: 0, estimateMs: 800 }
 * if (isStalled(run, 6_000)) await session.stop(allocation)
 */
export function isStalled(run: ObservedRun, now: number): boolean {
  return now - run.startedAt > limitMsOf(run) && now - run.progressAt > noProgressMs
}

function limitMsOf({
  estimateMs,
  longMs = 0,
  speedFactor = 1,
  isRunnerStuck,
}: ObservedRun): number {
  if (isRunnerStuck === true) return estimateMs
  const expectedMs = estimateMs * Math.max(1, speedFactor)
  return Math.max(overrunFactor * expectedMs, expectedMs + minOverrunMs, longMs)
}
