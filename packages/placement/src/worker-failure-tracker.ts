/** Number of racks on whose workers a job must fail before it is parked as faulty. */
export const failedRacksToPark = 3

/** Number of teams whose jobs must fail on a worker before the worker is quarantined. */
export const failedTeamsToQuarantine = 3

/** Largest fraction of the workers of a pool that is in quarantine at the same time. */
const maxQuarantinedFraction = 1 / 5

/** Pause between the start of a quarantine and the first trial, in milliseconds. */
const firstPauseMs = 60_000

/**
 * Longest pause before a trial, in milliseconds. Each failed trial doubles the pause up to this
 * limit, so that a broken worker fails few jobs.
 */
const maxPauseMs = 16 * 60_000

/** Number of consecutive trials that must succeed before a worker leaves quarantine. */
const trialsToReinstate = 3

/**
 * Stored state of a worker in quarantine. Times are wall-clock milliseconds, because the next
 * holder of the duty reads them on another host.
 */
export interface WorkerQuarantine {
  trialAt: number
  pauseMs: number
  succeeded: number
}

/** Stored state of a {@link WorkerFailureTracker}. */
export interface WorkerFailureState {
  /** Teams whose jobs failed on a worker, by worker id. */
  failures: Record<string, string[]>
  quarantine: Record<string, WorkerQuarantine>
}

/** Counts the teams whose jobs fail on each worker and quarantines workers that fail too many. */
export interface WorkerFailureTracker {
  /** Records that a job failed on a worker; returns whether the worker enters quarantine. */
  recordFailure(worker: string, team: string, poolSize: number): boolean
  /** Records that a job finished on a worker; returns whether the worker leaves quarantine. */
  recordSuccess(worker: string): boolean
  isQuarantined(worker: string): boolean
  /** Ids of the workers in quarantine. */
  quarantinedWorkers(): string[]
  /** Ids of the workers in quarantine that may run one task at a time, as a trial. */
  trialWorkers(): string[]
  /** Deletes the records of all workers but the given ones. */
  retainWorkers(workers: ReadonlySet<string>): void
  state(): WorkerFailureState
  restore(state: WorkerFailureState): void
}

/**
 * Creates the failure tracker of a pool's workers.
 *
 * @example
 * if (failureTracker.recordFailure(task.worker, task.team, workers.length)) decisions.record(...)
 */
export function createWorkerFailureTracker(
  opts: { wallClock?: () => number } = {},
): WorkerFailureTracker {
  const now = opts.wallClock ?? Date.now
  const failures = new Map<string, Set<string>>()
  const quarantine = new Map<string, WorkerQuarantine>()
  return {
    recordFailure: (worker, team, poolSize) => {
      const quarantined = quarantine.get(worker)
      if (quarantined !== undefined) {
        const isTrial = now() >= quarantined.trialAt
        // Tasks that were already running when the quarantine began do not count as trials.
        const pauseMs = isTrial
          ? Math.min(maxPauseMs, quarantined.pauseMs * 2)
          : quarantined.pauseMs
        quarantine.set(worker, { trialAt: now() + pauseMs, pauseMs, succeeded: 0 })
        return false
      }
      const teams = failures.get(worker) ?? new Set<string>()
      failures.set(worker, teams.add(team))
      if (teams.size < failedTeamsToQuarantine) return false
      if (quarantine.size + 1 > poolSize * maxQuarantinedFraction) return false
      const trialAt = now() + firstPauseMs
      quarantine.set(worker, { trialAt, pauseMs: firstPauseMs, succeeded: 0 })
      return true
    },
    recordSuccess: worker => {
      const quarantined = quarantine.get(worker)
      if (quarantined === undefined) {
        failures.delete(worker)
        return false
      }
      if (now() < quarantined.trialAt) return false
      quarantined.succeeded += 1
      if (quarantined.succeeded < trialsToReinstate) return false
      quarantine.delete(worker)
      failures.delete(worker)
      return true
    },
    isQuarantined: worker => quarantine.has(worker),
    quarantinedWorkers: () => [...quarantine.keys()],
    trialWorkers: () =>
      [...quarantine].flatMap(([id, { trialAt }]) => (now() >= trialAt ? [id] : [])),
    retainWorkers: workers => {
      for (const id of failures.keys()) if (!workers.has(id)) failures.delete(id)
      for (const id of quarantine.keys()) if (!workers.has(id)) quarantine.delete(id)
    },
    state: () => ({
      failures: Object.fromEntries([...failures].map(([id, teams]) => [id, [...teams]])),
      quarantine: Object.fromEntries(quarantine),
    }),
    restore: state => {
      for (const [id, teams] of Object.entries(state.failures)) failures.set(id, new Set(teams))
      for (const [id, entry] of Object.entries(state.quarantine)) quarantine.set(id, { ...entry })
    },
  }
}

/** Adds a rack to those on which a job has failed, and decides whether the job itself is faulty. */
export function assessJobFailure(
  failedRacks: readonly string[] | undefined,
  rack: string,
): { failedRacks: string[]; isFaulty: boolean } {
  const racks = [...new Set([...(failedRacks ?? []), rack])]
  return { failedRacks: racks, isFaulty: racks.length >= failedRacksToPark }
}
