import type { TaskRow, WorkerRow, WorkResources } from '@bulrushbridge/host'
import type { QueuedJob } from '@bulrushbridge/jobs'
import { dominantShare } from '@bulrushbridge/team-share'
import { fits, freeByWorker, sumOf, take, toResources } from './amounts.js'
import { TeamLevels } from './team-levels.js'

/** What the choice is made from. */
export interface PlacementState {
  /** Queued jobs; within a team those first in the list go first. */
  jobs: readonly QueuedJob[]
  workers: readonly WorkerRow[]
  tasks: readonly TaskRow[]
  zonesOut: ReadonlySet<string>
  /** Workers that take nothing new: leaving, unreachable or in quarantine. */
  closedWorkers: ReadonlySet<string>
  /** Workers in quarantine that may run one task, as a trial. */
  trialWorkers?: ReadonlySet<string>
  /** Share of each team. */
  shares: ReadonlyMap<string, number>
  /** Workers on which room is kept for a job, by job id; nothing else starts in this room. */
  reserved?: ReadonlyMap<string, string>
  /** What to reserve for a job. */
  sizeOf(job: QueuedJob): WorkResources
  /** Most placements of one call. */
  limit: number
}

/** A job and the worker that is to run it. */
export interface Placement {
  job: QueuedJob
  worker: WorkerRow
  size: WorkResources
}

interface Candidate {
  worker: WorkerRow
  free: WorkResources
  /** It takes a single task that may fail. */
  isTrial: boolean
}

/**
 * Chooses which queued jobs start on which workers now. The team that uses least of its share is
 * served first, and within a team urgent jobs come before others. While a job of a team below its
 * share finds no room, teams above theirs start nothing, so that what ends is left for it.
 *
 * @example
 * for (const { job, worker } of choosePlacements(state)) await start(job, worker)
 */
export function choosePlacements(state: PlacementState): Placement[] {
  return new Choice(state).run()
}

/** The room and the levels while one choice is made. */
class Choice {
  readonly #state: PlacementState
  readonly #candidates: Candidate[]
  readonly #levels: TeamLevels
  readonly #byRack: Map<string, number>
  readonly #byZone: Map<string, number>
  readonly #placements: Placement[] = []
  /** Set while a job of a team below its share waits for room. */
  #isShort = false

  constructor(state: PlacementState) {
    this.#state = state
    this.#candidates = openWorkers(state)
    this.#levels = new TeamLevels({
      capacity: sumOf(this.#candidates.map(({ worker }) => worker)),
      shares: state.shares,
      usage: state.tasks,
      waiting: state.jobs.map(({ team }) => team),
    })
    this.#byRack = countBy(state.tasks, ({ rack, team }) => `${team}/${rack}`)
    this.#byZone = countBy(state.tasks, ({ zone, team }) => `${team}/${zone}`)
  }

  run(): Placement[] {
    const { jobs, limit, reserved } = this.#state
    for (const job of jobs) this.#placeReserved(job)
    const waiting = jobsByTeam(jobs.filter(({ id }) => reserved?.has(id) !== true))
    while (waiting.size > 0 && this.#placements.length < limit) {
      const team = this.#nextTeam(waiting.keys())
      const teamJobs = waiting.get(team) ?? []
      const job = teamJobs.shift()
      const mustWait = this.#isShort && this.#levels.of(team) >= 1
      if (teamJobs.length === 0 || mustWait) waiting.delete(team)
      if (job !== undefined && !mustWait) this.#place(job)
    }
    return this.#placements
  }

  /** Room is taken even before it is free, so that no other job starts there. */
  #placeReserved(job: QueuedJob): void {
    const id = this.#state.reserved?.get(job.id)
    const chosen = this.#candidates.find(({ worker }) => worker.id === id)
    if (chosen === undefined) return
    const size = this.#state.sizeOf(job)
    if (fits(chosen.free, size)) this.#add(job, chosen, size)
    else {
      take(chosen.free, size)
      this.#levels.add(job.team, size)
    }
  }

  #place(job: QueuedJob): void {
    const size = this.#state.sizeOf(job)
    const counts = { byRack: this.#byRack, byZone: this.#byZone }
    const chosen = bestWorker(this.#candidates, job, size, counts)
    if (chosen !== undefined) this.#add(job, chosen, size)
    else if (this.#levels.of(job.team) < 1) {
      // A job that waits for a closed worker must not stop the others.
      this.#isShort ||= this.#candidates.some(each => !each.isTrial && fits(each.worker, size))
    }
  }

  #add(job: QueuedJob, chosen: Candidate, size: WorkResources): void {
    const { worker, free } = chosen
    take(free, size)
    if (chosen.isTrial) this.#candidates.splice(this.#candidates.indexOf(chosen), 1)
    this.#levels.add(job.team, size)
    increment(this.#byRack, `${job.team}/${worker.rack}`)
    increment(this.#byZone, `${job.team}/${worker.zone}`)
    this.#placements.push({ job, worker, size })
  }

  /** Ties go by name, so that the order does not depend on that of the jobs. */
  #nextTeam(teams: Iterable<string>): string {
    let next: { team: string; level: number } | undefined
    for (const team of teams) {
      const level = this.#levels.of(team)
      const isNext =
        next === undefined || level < next.level || (level === next.level && team < next.team)
      if (isNext) next = { team, level }
    }
    return next?.team ?? ''
  }
}

/** Workers that may take jobs, with what their tasks leave free. */
function openWorkers(state: PlacementState): Candidate[] {
  const free = freeByWorker(state.workers, state.tasks)
  const busy = new Set(state.tasks.map(({ worker }) => worker))
  return state.workers.flatMap(worker => {
    const left = free.get(worker.id)
    const isTrial = state.trialWorkers?.has(worker.id) === true
    const isOpen =
      !state.zonesOut.has(worker.zone) &&
      !state.closedWorkers.has(worker.id) &&
      !(isTrial && busy.has(worker.id))
    return isOpen && left !== undefined ? [{ worker, free: left, isTrial }] : []
  })
}

function jobsByTeam(jobs: readonly QueuedJob[]): Map<string, QueuedJob[]> {
  const teams = new Map<string, QueuedJob[]>()
  const ordered = [...jobs].sort((a, b) => Number(b.urgent) - Number(a.urgent))
  for (const job of ordered) {
    const own = teams.get(job.team)
    if (own === undefined) teams.set(job.team, [job])
    else own.push(job)
  }
  return teams
}

/**
 * Fewest tasks of the team in the zone, then in the rack, then the tightest fit, which keeps large
 * gaps for large jobs. Racks on which the job has failed come last, so that its blame is settled on
 * others.
 */
function bestWorker(
  candidates: readonly Candidate[],
  job: QueuedJob,
  size: WorkResources,
  counts: { byRack: Map<string, number>; byZone: Map<string, number> },
): Candidate | undefined {
  let best: { candidate: Candidate; rank: number[] } | undefined
  for (const candidate of candidates) {
    if (!fits(candidate.free, size) || (candidate.isTrial && !mayBeTrial(job))) continue
    const { rack, zone } = candidate.worker
    const rank = [
      job.failedRacks?.includes(rack) === true ? 1 : 0,
      counts.byZone.get(`${job.team}/${zone}`) ?? 0,
      counts.byRack.get(`${job.team}/${rack}`) ?? 0,
      // Accelerators are scarce, so jobs without them prefer workers without them.
      size.accelerators === 0 ? candidate.worker.accelerators : 0,
      1 - dominantShare(toResources(size), toResources(candidate.free)),
    ]
    if (best === undefined || isLower(rank, best.rank)) best = { candidate, rank }
  }
  return best?.candidate
}

/** A trial may cost its job the time of a failure, and must not be failed by a faulty job. */
function mayBeTrial({ idempotent, urgent, failedRacks = [] }: QueuedJob): boolean {
  return idempotent && !urgent && failedRacks.length === 0
}

function isLower(a: readonly number[], b: readonly number[]): boolean {
  const at = a.findIndex((value, i) => value !== b[i])
  return at !== -1 && (a[at] ?? 0) < (b[at] ?? 0)
}

function countBy<T>(items: readonly T[], keyOf: (item: T) => string): Map<string, number> {
  const counts = new Map<string, number>()
  for (const item of items) increment(counts, keyOf(item))
  return counts
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1)
}
