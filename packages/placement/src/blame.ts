/** Racks on whose workers a job fails before it is parked as faulty. */
export const racksToPark = 3

/** Teams whose jobs a worker fails before it is quarantined. */
export const teamsToQuarantine = 3

/** Largest part of a pool's workers in quarantine at the same time. */
const maxQuarantined = 1 / 5

/** First pause of a worker in quarantine before a trial, in milliseconds. */
const firstPauseMs = 60_000

/** Each failed trial doubles the pause, up to this, so that a broken worker fails few jobs. */
const maxPauseMs = 16 * 60_000

/** Trials in a row that succeed before a worker leaves quarantine. */
const trialsToReinstate = 3

/** A worker in quarantine; times are wall-clock milliseconds, because the next holder reads them. */
export interface Quarantine {
  trialAt: number
  pauseMs: number
  succeeded: number
}

/** What is stored of the failures of workers. */
export interface BlameState {
  /** Teams whose jobs failed, by worker. */
  failures: Record<string, string[]>
  quarantine: Record<string, Quarantine>
}

/** Failures of workers, for the quarantine. */
export interface WorkerBlame {
  /** Registers a failure; returns whether the worker enters quarantine by it. */
  failed(worker: string, team: string, poolSize: number): boolean
  /** A job that finished shows that the worker works; returns whether it leaves quarantine by it. */
  finished(worker: string): boolean
  isQuarantined(worker: string): boolean
  /** Ids in quarantine. */
  quarantined(): string[]
  /** Ids in quarantine that may run one task at a time, as a trial. */
  onTrial(): string[]
  /** Forgets workers that are not in the pool. */
  keep(workers: ReadonlySet<string>): void
  state(): BlameState
  restore(state: BlameState): void
}

/**
 * Creates the record of failures by worker.
 *
 * @example
 * if (blame.failed(task.worker, task.team, workers.length)) decisions.record(...)
 */
export function createWorkerBlame(opts: { wallClock?: () => number } = {}): WorkerBlame {
  const now = opts.wallClock ?? Date.now
  const failures = new Map<string, Set<string>>()
  const quarantine = new Map<string, Quarantine>()
  return {
    failed: (worker, team, poolSize) => {
      const known = quarantine.get(worker)
      if (known !== undefined) {
        const isTrial = now() >= known.trialAt
        // Tasks that were running when the quarantine began are no trials.
        const pauseMs = isTrial ? Math.min(maxPauseMs, known.pauseMs * 2) : known.pauseMs
        quarantine.set(worker, { trialAt: now() + pauseMs, pauseMs, succeeded: 0 })
        return false
      }
      const teams = failures.get(worker) ?? new Set<string>()
      failures.set(worker, teams.add(team))
      if (teams.size < teamsToQuarantine) return false
      if (quarantine.size + 1 > poolSize * maxQuarantined) return false
      const trialAt = now() + firstPauseMs
      quarantine.set(worker, { trialAt, pauseMs: firstPauseMs, succeeded: 0 })
      return true
    },
    finished: worker => {
      const known = quarantine.get(worker)
      if (known === undefined) {
        failures.delete(worker)
        return false
      }
      if (now() < known.trialAt) return false
      known.succeeded += 1
      if (known.succeeded < trialsToReinstate) return false
      quarantine.delete(worker)
      failures.delete(worker)
      return true
    },
    isQuarantined: worker => quarantine.has(worker),
    quarantined: () => [...quarantine.keys()],
    onTrial: () => [...quarantine].flatMap(([id, { trialAt }]) => (now() >= trialAt ? [id] : [])),
    keep: workers => {
      for (const id of failures.keys()) if (!workers.has(id)) failures.delete(id)
      for (const id of quarantine.keys()) if (!workers.has(id)) quarantine.delete(id)
    },
    state: () => ({
      failures: Object.fromEntries([...failures].map(([id, teams]) => [id, [...teams]])),
      quarantine: Object.fromEntries(quarantine),
    }),
    restore: state => {
      for (const [id, teams] of Object.entries(state.failures)) failures.set(id, new Set(teams))
      for (const [id, each] of Object.entries(state.quarantine)) quarantine.set(id, { ...each })
    },
  }
}

/** The racks on which a job has failed, and whether it counts as faulty itself. */
export function blameJob(
  failedRacks: readonly string[] | undefined,
  rack: string,
): { failedRacks: string[]; isFaulty: boolean } {
  const racks = [...new Set([...(failedRacks ?? []), rack])]
  return { failedRacks: racks, isFaulty: racks.length >= racksToPark }
}
