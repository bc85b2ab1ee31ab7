import type { TaskRow, WorkerRow, WorkResources } from '@bulrushbridge/host'
import type { QueuedJob } from '@bulrushbridge/jobs'
import { dominantShare, fairOrder, type Resources } from '@bulrushbridge/team-share'

/** What the choice is made from. */
export interface PlacementState {
  /** Queued jobs; within a team those first in the list go first. */
  jobs: readonly QueuedJob[]
  workers: readonly WorkerRow[]
  tasks: readonly TaskRow[]
  zonesOut: ReadonlySet<string>
  /** Workers that take nothing new: leaving, unreachable or in quarantine. */
  closedWorkers: ReadonlySet<string>
  /** Share of each team. */
  shares: ReadonlyMap<string, number>
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
}

/**
 * Chooses which queued jobs start on which workers now. The team with the lowest weighted dominant
 * share is served first, and within a team urgent jobs come before others.
 *
 * @example
 * for (const { job, worker } of choosePlacements(state)) await start(job, worker)
 */
export function choosePlacements(state: PlacementState): Placement[] {
  const candidates = openWorkers(state)
  const capacity = sumOf(candidates.map(({ worker }) => worker))
  const usage = new Map<string, WorkResources>()
  for (const task of state.tasks) addTo(usage, task.team, task)
  const waiting = jobsByTeam(state.jobs)
  const byRack = countBy(state.tasks, ({ rack, team }) => `${team}/${rack}`)
  const byZone = countBy(state.tasks, ({ zone, team }) => `${team}/${zone}`)
  const placements: Placement[] = []
  while (waiting.size > 0 && placements.length < state.limit) {
    const teams = [...waiting.keys()].map(team => ({
      team,
      weight: state.shares.get(team) ?? 1,
      usage: toResources(usage.get(team)),
    }))
    const team = fairOrder(teams, toResources(capacity))[0]?.team ?? ''
    const jobs = waiting.get(team) ?? []
    const job = jobs.shift()
    if (jobs.length === 0) waiting.delete(team)
    if (job === undefined) continue
    const size = state.sizeOf(job)
    const chosen = bestWorker(candidates, job, size, { byRack, byZone })
    if (chosen === undefined) continue
    take(chosen.free, size)
    addTo(usage, team, size)
    increment(byRack, `${team}/${chosen.worker.rack}`)
    increment(byZone, `${team}/${chosen.worker.zone}`)
    placements.push({ job, worker: chosen.worker, size })
  }
  return placements
}

/** Whether no worker of the pool, even an empty one, is large enough for the job. */
export function canNeverRun(request: WorkResources, workers: readonly WorkerRow[]): boolean {
  return workers.length > 0 && !workers.some(worker => fits(worker, request))
}

/** Workers that may take jobs, with what their tasks leave free. */
function openWorkers(state: PlacementState): Candidate[] {
  const free = new Map(
    state.workers.map(worker => {
      const { cpus, memoryMb, accelerators } = worker
      return [worker.id, { cpus, memoryMb, accelerators }] as const
    }),
  )
  for (const task of state.tasks) {
    const left = free.get(task.worker)
    if (left !== undefined) take(left, task)
  }
  return state.workers.flatMap(worker => {
    const left = free.get(worker.id)
    const isOpen = !state.zonesOut.has(worker.zone) && !state.closedWorkers.has(worker.id)
    return isOpen && left !== undefined ? [{ worker, free: left }] : []
  })
}

function jobsByTeam(jobs: readonly QueuedJob[]): Map<string, QueuedJob[]> {
  const teams = new Map<string, QueuedJob[]>()
  const ordered = [...jobs].sort((a, b) => Number(b.urgent) - Number(a.urgent))
  for (const job of ordered) teams.set(job.team, [...(teams.get(job.team) ?? []), job])
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
    if (!fits(candidate.free, size)) continue
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

function isLower(a: readonly number[], b: readonly number[]): boolean {
  const at = a.findIndex((value, i) => value !== b[i])
  return at !== -1 && (a[at] ?? 0) < (b[at] ?? 0)
}

function fits(free: WorkResources, size: WorkResources): boolean {
  return (
    size.cpus <= free.cpus &&
    size.memoryMb <= free.memoryMb &&
    size.accelerators <= free.accelerators
  )
}

function take(from: WorkResources, size: WorkResources): void {
  from.cpus -= size.cpus
  from.memoryMb -= size.memoryMb
  from.accelerators -= size.accelerators
}

function addTo(sums: Map<string, WorkResources>, key: string, size: WorkResources): void {
  sums.set(key, sumOf([sums.get(key) ?? sumOf([]), size]))
}

function sumOf(sizes: readonly WorkResources[]): WorkResources {
  const sum = { cpus: 0, memoryMb: 0, accelerators: 0 }
  for (const { cpus, memoryMb, accelerators } of sizes) {
    sum.cpus += cpus
    sum.memoryMb += memoryMb
    sum.accelerators += accelerators
  }
  return sum
}

function toResources(size: WorkResources | undefined): Resources {
  const { cpus = 0, memoryMb = 0, accelerators = 0 } = size ?? {}
  return { cpus, memory: memoryMb, accelerators }
}

function countBy<T>(items: readonly T[], keyOf: (item: T) => string): Map<string, number> {
  const counts = new Map<string, number>()
  for (const item of items) increment(counts, keyOf(item))
  return counts
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1)
}
