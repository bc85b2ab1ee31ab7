/** A run on a runner; times are readings of one clock, in milliseconds. */
export interface RunProgress {
  startedAt: number
  /** When its reported progress last changed; not after `startedAt` if it has not changed. */
  progressAt: number
  /** Expected run time of the whole task. */
  expectedMs: number
}

/** Time for which none of the runs has progressed, in milliseconds. */
const minQuietMs = 2_500

/** Part of its expected time in which a run certainly progresses; progress comes in whole percents. */
const minProgressPart = 0.1

/** A run is overdue after this many times its expected time, and after this time beyond it, in ms. */
const overdueFactor = 1.5
const minOverdueMs = 1_000

/** Fewest overdue runs; a single one may be a long task. */
const minOverdueRuns = 2

/**
 * What the runs on a runner that answers polls say of it.
 *
 * - `working`: a run has progressed or ended as done a short while ago, so that an overdue run is a long
 *   task or hangs by itself.
 * - `stuck`: none has, although at least two are overdue.
 * - `unknown`: none has, and no more than one is overdue.
 */
export type RunnerState = 'working' | 'stuck' | 'unknown'

/**
 * Judges a runner by the progress of its runs.
 *
 * @example
 * if (runnerStateOf(runs, lastDoneAt, performance.now()) === 'stuck') stopRuns()
 */
export function runnerStateOf(
  runs: readonly RunProgress[],
  lastDoneAt: number | undefined,
  now: number,
): RunnerState {
  if (lastDoneAt !== undefined && now - lastDoneAt <= minQuietMs) return 'working'
  let overdueRuns = 0
  for (const { startedAt, progressAt, expectedMs } of runs) {
    const quietMs = Math.max(minQuietMs, minProgressPart * expectedMs)
    // A run that has just begun and has reported nothing yet shows nothing.
    if (progressAt > startedAt && now - progressAt <= quietMs) return 'working'
    const overdueMs = Math.max(overdueFactor * expectedMs, expectedMs + minOverdueMs, quietMs)
    if (now - startedAt > overdueMs) overdueRuns += 1
  }
  return overdueRuns >= minOverdueRuns ? 'stuck' : 'unknown'
}
