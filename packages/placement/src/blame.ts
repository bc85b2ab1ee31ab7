/** Racks on whose workers a job fails before it is parked as faulty. */
export const racksToPark = 3

/** Teams whose jobs a worker fails before it is quarantined. */
export const teamsToQuarantine = 3

/** Largest part of a pool's workers in quarantine at the same time. */
const maxQuarantined = 1 / 5

/** Failures of workers, for the quarantine. */
export interface WorkerBlame {
  /** Registers a failure; returns whether the worker enters quarantine by it. */
  failed(worker: string, team: string, poolSize: number): boolean
  /** A job that finished shows that the worker works. */
  finished(worker: string): void
  isQuarantined(worker: string): boolean
  /** Ids in quarantine. */
  quarantined(): string[]
}

/**
 * Creates the record of failures by worker.
 *
 * @example
 * if (blame.failed(task.worker, task.team, workers.length)) decisions.record(...)
 */
export function createWorkerBlame(): WorkerBlame {
  const failures = new Map<string, Set<string>>()
  const quarantine = new Set<string>()
  return {
    failed: (worker, team, poolSize) => {
      const teams = failures.get(worker) ?? new Set<string>()
      failures.set(worker, teams.add(team))
      if (teams.size < teamsToQuarantine || quarantine.has(worker)) return false
      if (quarantine.size + 1 > poolSize * maxQuarantined) return false
      quarantine.add(worker)
      return true
    },
    finished: worker => {
      if (!quarantine.has(worker)) failures.delete(worker)
    },
    isQuarantined: worker => quarantine.has(worker),
    quarantined: () => [...quarantine],
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
