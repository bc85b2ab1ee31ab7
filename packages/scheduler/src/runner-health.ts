/** Failures of different jobs in the window that close a runner when hardly anything succeeds. */
const failuresToClose = 3

/** Time for which failures and successes count, in milliseconds. */
const windowMs = 6_000

/** First time for which a runner stays closed, in milliseconds; doubles with each closing. */
const firstClosedMs = 3_000

const maxClosedMs = 30_000

/** A runner is closed while failures exceed this share of its ends. */
const maxFailedShare = 0.5

interface RunnerRecord {
  ends: { at: number; job: string; isFailed: boolean }[]
  closedUntil: number
  closedMs: number
}

/** Failures by runner, to tell broken runners from jobs that fail everywhere. */
export interface RunnerHealth {
  /** Returns whether the runner is closed by this failure. */
  failed(runnerId: string, jobId: string, now: number): boolean
  succeeded(runnerId: string, jobId: string, now: number): void
  /** Whether the runner takes no new work. */
  isClosed(runnerId: string, now: number): boolean
  forget(runnerId: string): void
}

/**
 * Creates the record of failures. A runner that fails the tasks of several jobs is closed for a
 * time; a job whose tasks fail on several runners is at fault itself and closes none.
 *
 * @example
 * if (health.failed('i-7f3a91c2', jobId, performance.now())) log.warn('runner closed')
 */
export function createRunnerHealth(): RunnerHealth {
  const runners = new Map<string, RunnerRecord>()
  const recordOf = (runnerId: string): RunnerRecord => {
    const known = runners.get(runnerId)
    if (known !== undefined) return known
    const created = { ends: [], closedUntil: 0, closedMs: firstClosedMs }
    runners.set(runnerId, created)
    return created
  }
  const add = (runnerId: string, job: string, now: number, isFailed: boolean) => {
    const record = recordOf(runnerId)
    record.ends = record.ends.filter(({ at }) => at > now - windowMs)
    record.ends.push({ at: now, job, isFailed })
    return record
  }
  return {
    failed: (runnerId, jobId, now) => {
      const record = add(runnerId, jobId, now, true)
      const failures = record.ends.filter(({ isFailed }) => isFailed)
      const jobs = new Set(failures.map(({ job }) => job)).size
      const share = failures.length / record.ends.length
      if (jobs < failuresToClose || share < maxFailedShare || now < record.closedUntil) return false
      record.closedUntil = now + record.closedMs
      record.closedMs = Math.min(maxClosedMs, 2 * record.closedMs)
      record.ends = []
      return true
    },
    succeeded: (runnerId, jobId, now) => {
      add(runnerId, jobId, now, false)
    },
    isClosed: (runnerId, now) => now < (runners.get(runnerId)?.closedUntil ?? 0),
    forget: runnerId => {
      runners.delete(runnerId)
    },
  }
}
