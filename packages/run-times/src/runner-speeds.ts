/** Time after which evidence about a runner has half its weight, in milliseconds. */
const halfLifeMs = 30_000

/** Weight of the assumption that a runner is as fast as its peers, in runs. */
const assumedWeight = 8

/** Most runs that the mean of a runner counts, so that a runner that recovers is noticed by its runs. */
const maxWeight = 40

/**
 * Largest factor that a single run counts with. About 3 in 100 tasks take seven times as long as the
 * others, on any runner.
 */
const maxRunFactor = 3

/** Most runners that are kept; those without runs for the longest time are dropped. */
const maxRunners = 1_024

/** A run on a runner. */
export interface RunnerObservation {
  runnerId: string
  /** When the runner started; tells it from a later restart with the same id. */
  startedAt: number
  /** When the run ended, in milliseconds of the clock that the caller uses throughout. */
  at: number
  /** Actual over expected run time. */
  ratio: number
}

interface RunnerStatistics {
  startedAt: number
  at: number
  weight: number
  meanLog: number
}

/** Speed of runners relative to their peers on similar work. */
export interface RunnerSpeeds {
  /** Adds a run that ended as done. */
  observe(observation: RunnerObservation): void
  /**
   * Returns how many times as long as elsewhere runs take on a runner. 1 for a runner without evidence
   * and for one that has restarted since.
   */
  factor(runnerId: string, startedAt: number, now: number): number
}

/**
 * Creates the speeds of runners. Some runners of a fleet are slower than others of the same kind, for
 * some time. A run is compared with what the run-time model expects, which is the mean of all runners.
 *
 * @example
 * speeds.observe({ runnerId: 'i-7f3a91c2', startedAt, at: performance.now(), ratio: 1_310 / 655 })
 * const expectedMs = meanMs * speeds.factor('i-7f3a91c2', startedAt, performance.now())
 */
export function createRunnerSpeeds(): RunnerSpeeds {
  const runners = new Map<string, RunnerStatistics>()

  /** Returns what is known at a time of this start of the runner; undefined for an earlier start. */
  const currentOf = ({ runnerId, startedAt, at }: Omit<RunnerObservation, 'ratio'>) => {
    const known = runners.get(runnerId)
    if (known !== undefined && known.startedAt > startedAt) return undefined
    const current =
      known?.startedAt === startedAt ? known : { startedAt, at, weight: 0, meanLog: 0 }
    current.weight = weightAt(current, at)
    current.at = Math.max(current.at, at)
    // The map is ordered by the last run, so that its first key is the one to drop.
    runners.delete(runnerId)
    runners.set(runnerId, current)
    if (runners.size > maxRunners) {
      const [oldest] = runners.keys()
      if (oldest !== undefined) runners.delete(oldest)
    }
    return current
  }

  return {
    observe: ({ ratio, ...runner }) => {
      const current = currentOf(runner)
      if (current === undefined || !(ratio > 0)) return
      const maxLog = Math.log(maxRunFactor)
      const log = Math.min(maxLog, Math.max(-maxLog, Math.log(ratio)))
      current.weight = Math.min(maxWeight, current.weight + 1)
      current.meanLog += (log - current.meanLog) / current.weight
    },
    factor: (runnerId, startedAt, now) => {
      const known = runners.get(runnerId)
      if (known?.startedAt !== startedAt) return 1
      const weight = weightAt(known, now)
      return Math.exp((weight / (weight + assumedWeight)) * known.meanLog)
    },
  }
}

function weightAt({ weight, at }: RunnerStatistics, now: number): number {
  return weight * 2 ** (-Math.max(0, now - at) / halfLifeMs)
}
