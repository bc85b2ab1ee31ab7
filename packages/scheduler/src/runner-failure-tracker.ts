/**
 * Number of different jobs with failed runs in the window from which a runner is quarantined, if
 * hardly any of its runs succeed.
 */
const quarantineJobCount = 3

/** Window in which failures and successes count, in milliseconds. */
const windowMs = 6_000

/** Duration of the first quarantine of a runner, in milliseconds; it doubles each time. */
const firstQuarantineMs = 3_000

const maxQuarantineMs = 30_000

/** Lowest share of failures among the ended runs of a runner that can quarantine the runner. */
const minFailedShare = 0.5

interface RunnerRuns {
  /** Runs that ended within the window. */
  ends: { at: number; job: string; isFailed: boolean }[]
  quarantinedUntil: number
  nextQuarantineMs: number
}

/** Quarantines a runner; returns false, and changes nothing, if it is quarantined already. */
function quarantine(runs: RunnerRuns, now: number): boolean {
  if (now < runs.quarantinedUntil) return false
  runs.quarantinedUntil = now + runs.nextQuarantineMs
  runs.nextQuarantineMs = Math.min(maxQuarantineMs, 2 * runs.nextQuarantineMs)
  runs.ends = []
  return true
}

/** Tracks failed runs by runner, to tell broken runners from jobs that fail everywhere. */
export interface RunnerFailureTracker {
  /** Records a failed run; returns whether the runner is quarantined because of it. */
  recordFailure(runnerId: string, jobId: string, now: number): boolean
  /** Records that nothing progresses on a runner; returns whether it is quarantined because of it. */
  recordStuck(runnerId: string, now: number): boolean
  /** Records a successful run. */
  recordSuccess(runnerId: string, jobId: string, now: number): void
  /** Whether the runner is quarantined now: it gets no new tasks. */
  isQuarantined(runnerId: string, now: number): boolean
  /** Drops everything that is recorded about a runner. */
  forget(runnerId: string): void
}

/**
 * Creates a tracker of failed runs. A runner on which tasks of several jobs fail is quarantined for
 * some time. A job whose tasks fail on several runners is at fault itself and quarantines none.
 *
 * @example
 * if (tracker.recordFailure('i-7f3a91c2', jobId, performance.now())) log.warn('runner quarantined')
 */
export function createRunnerFailureTracker(): RunnerFailureTracker {
  const runners = new Map<string, RunnerRuns>()
  const runsOf = (runnerId: string): RunnerRuns => {
    const known = runners.get(runnerId)
    if (known !== undefined) return known
    const created = { ends: [], quarantinedUntil: 0, nextQuarantineMs: firstQuarantineMs }
    runners.set(runnerId, created)
    return created
  }
  const addEnd = (runnerId: string, job: string, now: number, isFailed: boolean) => {
    const runs = runsOf(runnerId)
    runs.ends = runs.ends.filter(({ at }) => at > now - windowMs)
    runs.ends.push({ at: now, job, isFailed })
    return runs
  }
  return {
    recordFailure: (runnerId, jobId, now) => {
      const runs = addEnd(runnerId, jobId, now, true)
      const failures = runs.ends.filter(({ isFailed }) => isFailed)
      const jobs = new Set(failures.map(({ job }) => job)).size
      const share = failures.length / runs.ends.length
      return jobs >= quarantineJobCount && share >= minFailedShare && quarantine(runs, now)
    },
    recordStuck: (runnerId, now) => quarantine(runsOf(runnerId), now),
    recordSuccess: (runnerId, jobId, now) => {
      addEnd(runnerId, jobId, now, false)
    },
    isQuarantined: (runnerId, now) => now < (runners.get(runnerId)?.quarantinedUntil ?? 0),
    forget: runnerId => {
      runners.delete(runnerId)
    },
  }
}
