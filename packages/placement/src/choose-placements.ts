import type { TaskRow, WorkerRow, ResourceAmounts } from '@bulrushbridge/host'
import type { QueuedJob } from '@bulrushbridge/jobs'
import { dominantShare } from '@bulrushbridge/team-share'
import {
  fits,
  freeResourcesByWorker,
  sumResources,
  subtractResources,
  toShareResources,
} from './work-resources.js'
import { TeamShareLevels } from './team-share-levels.js'

/** Input of {@link choosePlacements}. */
export interface PlacementInput {
  /** Queued jobs. Jobs of one team and urgency are placed in the order of the list. */
  jobs: readonly QueuedJob[]
  workers: readonly WorkerRow[]
  tasks: readonly TaskRow[]
  zonesOut: ReadonlySet<string>
  /** Ids of workers that take no new tasks: leaving, unreachable or in quarantine. */
  closedWorkers: ReadonlySet<string>
  /** Ids of workers in quarantine that may run one task, as a trial. */
  trialWorkers?: ReadonlySet<string>
  /** Share of each team. */
  shares: ReadonlyMap<string, number>
  /** Id of the worker on which capacity is reserved for a job, by job id. */
  reservedWorkers?: ReadonlyMap<string, string>
  /** Resources to reserve for a job. */
  sizeOf(job: QueuedJob): ResourceAmounts
  /** Maximum number of placements of one call. */
  limit: number
}

/** A job, the worker that is to run it and the resources reserved for it. */
export interface JobPlacement {
  job: QueuedJob
  worker: WorkerRow
  size: ResourceAmounts
}

/** A worker that may take jobs. */
interface Candidate {
  worker: WorkerRow
  free: ResourceAmounts
  /** Whether the worker is in quarantine and takes a single task, as a trial. */
  isTrial: boolean
}

/**
 * Chooses which queued jobs start on which workers now. The team that uses the least of its share
 * goes first, and within a team urgent jobs go before others. While a job of a team below its share
 * waits for free capacity, teams at or above their shares start nothing, so that capacity that
 * becomes free is left for this job.
 *
 * @example
 * for (const { job, worker } of choosePlacements(input)) await start(job, worker)
 */
export function choosePlacements(input: PlacementInput): JobPlacement[] {
  return new PlacementChooser(input).run()
}

/** Working state of one {@link choosePlacements} call: free capacity, levels and placements. */
class PlacementChooser {
  readonly #input: PlacementInput
  readonly #candidates: Candidate[]
  readonly #levels: TeamShareLevels
  readonly #teamTasksByRack: Map<string, number>
  readonly #teamTasksByZone: Map<string, number>
  readonly #placements: JobPlacement[] = []
  /** Whether a job of a team below its share waits for free capacity. */
  #isJobBelowShareWaiting = false

  constructor(input: PlacementInput) {
    this.#input = input
    this.#candidates = availableCandidates(input)
    this.#levels = new TeamShareLevels({
      capacity: sumResources(this.#candidates.map(({ worker }) => worker)),
      shares: input.shares,
      usage: input.tasks,
      waitingTeams: input.jobs.map(({ team }) => team),
    })
    this.#teamTasksByRack = countBy(input.tasks, ({ rack, team }) => `${team}/${rack}`)
    this.#teamTasksByZone = countBy(input.tasks, ({ zone, team }) => `${team}/${zone}`)
  }

  run(): JobPlacement[] {
    const { jobs, limit, reservedWorkers } = this.#input
    for (const job of jobs) this.#placeReserved(job)
    const jobsOfTeams = jobsByTeam(jobs.filter(({ id }) => reservedWorkers?.has(id) !== true))
    while (jobsOfTeams.size > 0 && this.#placements.length < limit) {
      const team = this.#nextTeam(jobsOfTeams.keys())
      const teamJobs = jobsOfTeams.get(team) ?? []
      const job = teamJobs.shift()
      const mustWait = this.#isJobBelowShareWaiting && this.#levels.levelOf(team) >= 1
      if (teamJobs.length === 0 || mustWait) jobsOfTeams.delete(team)
      if (job !== undefined && !mustWait) this.#placeJob(job)
    }
    return this.#placements
  }

  /** Subtracts reserved capacity even while it is in use, so that no other job starts there. */
  #placeReserved(job: QueuedJob): void {
    const id = this.#input.reservedWorkers?.get(job.id)
    const chosen = this.#candidates.find(({ worker }) => worker.id === id)
    if (chosen === undefined) return
    const size = this.#input.sizeOf(job)
    if (fits(chosen.free, size)) this.#addPlacement(job, chosen, size)
    else {
      subtractResources(chosen.free, size)
      this.#levels.add(job.team, size)
    }
  }

  #placeJob(job: QueuedJob): void {
    const size = this.#input.sizeOf(job)
    const counts = { byRack: this.#teamTasksByRack, byZone: this.#teamTasksByZone }
    const chosen = bestWorker(this.#candidates, job, size, counts)
    if (chosen !== undefined) this.#addPlacement(job, chosen, size)
    else if (this.#levels.levelOf(job.team) < 1) {
      // A job that fits only on closed workers must not hold up other teams.
      this.#isJobBelowShareWaiting ||= this.#candidates.some(
        candidate => !candidate.isTrial && fits(candidate.worker, size),
      )
    }
  }

  #addPlacement(job: QueuedJob, chosen: Candidate, size: ResourceAmounts): void {
    const { worker, free } = chosen
    subtractResources(free, size)
    if (chosen.isTrial) this.#candidates.splice(this.#candidates.indexOf(chosen), 1)
    this.#levels.add(job.team, size)
    increment(this.#teamTasksByRack, `${job.team}/${worker.rack}`)
    increment(this.#teamTasksByZone, `${job.team}/${worker.zone}`)
    this.#placements.push({ job, worker, size })
  }

  /** The team with the lowest level. Ties go by name, independently of the order of the jobs. */
  #nextTeam(teams: Iterable<string>): string {
    let next: { team: string; level: number } | undefined
    for (const team of teams) {
      const level = this.#levels.levelOf(team)
      const isNext =
        next === undefined || level < next.level || (level === next.level && team < next.team)
      if (isNext) next = { team, level }
    }
    return next?.team ?? ''
  }
}

/** Workers that may take jobs, with their free resources. */
function availableCandidates(input: PlacementInput): Candidate[] {
  const free = freeResourcesByWorker(input.workers, input.tasks)
  const busy = new Set(input.tasks.map(({ worker }) => worker))
  return input.workers.flatMap(worker => {
    const workerFree = free.get(worker.id)
    const isTrial = input.trialWorkers?.has(worker.id) === true
    const isCandidate =
      !input.zonesOut.has(worker.zone) &&
      !input.closedWorkers.has(worker.id) &&
      !(isTrial && busy.has(worker.id))
    return isCandidate && workerFree !== undefined ? [{ worker, free: workerFree, isTrial }] : []
  })
}

/** Groups jobs by team, urgent jobs first. */
function jobsByTeam(jobs: readonly QueuedJob[]): Map<string, QueuedJob[]> {
  const teams = new Map<string, QueuedJob[]>()
  const ordered = [...jobs].sort((a, b) => Number(b.urgent) - Number(a.urgent))
  for (const job of ordered) {
    const teamJobs = teams.get(job.team)
    if (teamJobs === undefined) teams.set(job.team, [job])
    else teamJobs.push(job)
  }
  return teams
}

/**
 * The best worker for a job: with the fewest tasks of the team in its zone, then in its rack, then
 * with the tightest fit, which keeps large free amounts for large jobs. Racks on which the job has
 * failed come last, so that failures on other racks can show whether the job is faulty.
 */
function bestWorker(
  candidates: readonly Candidate[],
  job: QueuedJob,
  size: ResourceAmounts,
  counts: { byRack: Map<string, number>; byZone: Map<string, number> },
): Candidate | undefined {
  let best: { candidate: Candidate; rank: number[] } | undefined
  for (const candidate of candidates) {
    if (!fits(candidate.free, size) || (candidate.isTrial && !canRunAsTrial(job))) continue
    const { rack, zone } = candidate.worker
    const rank = [
      job.failedRacks?.includes(rack) === true ? 1 : 0,
      counts.byZone.get(`${job.team}/${zone}`) ?? 0,
      counts.byRack.get(`${job.team}/${rack}`) ?? 0,
      // Accelerators are scarce, so jobs that need none prefer workers without accelerators.
      size.accelerators === 0 ? candidate.worker.accelerators : 0,
      1 - dominantShare(toShareResources(size), toShareResources(candidate.free)),
    ]
    if (best === undefined || isLowerRank(rank, best.rank)) best = { candidate, rank }
  }
  return best?.candidate
}

/**
 * Whether a job may run as a trial. A failed trial delays its job, so urgent jobs are excluded; a
 * job that has failed before may be faulty and would fail the trial of a repaired worker.
 */
function canRunAsTrial({ idempotent, urgent, failedRacks = [] }: QueuedJob): boolean {
  return idempotent && !urgent && failedRacks.length === 0
}

/** Compares ranks lexicographically. */
function isLowerRank(a: readonly number[], b: readonly number[]): boolean {
  const index = a.findIndex((value, i) => value !== b[i])
  return index !== -1 && (a[index] ?? 0) < (b[index] ?? 0)
}

function countBy<T>(items: readonly T[], keyOf: (item: T) => string): Map<string, number> {
  const counts = new Map<string, number>()
  for (const item of items) increment(counts, keyOf(item))
  return counts
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1)
}
