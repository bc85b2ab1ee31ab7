import type { TaskRow, WorkerRow, WorkResources } from '@bulrushbridge/host'
import { fits, giveBack, sumOf } from './amounts.js'
import type { TeamLevels } from './team-levels.js'

/** A running task that may be checkpointed and stopped. */
export interface ReclaimableTask {
  row: TaskRow
  /** How long it has run, in milliseconds; the newest loses least. */
  ageMs: number
}

/** What the choice of a reclaim is made from. */
export interface ReclaimState {
  team: string
  /** What the waiting job needs. */
  size: WorkResources
  /** Workers that may take the job. */
  workers: readonly WorkerRow[]
  /** Free amounts by worker, less what is reserved for other jobs. */
  free: ReadonlyMap<string, WorkResources>
  tasks: readonly ReclaimableTask[]
  levels: TeamLevels
}

/** The worker on which tasks make room for a job. */
export interface Reclaim {
  worker: WorkerRow
  tasks: ReclaimableTask[]
}

/**
 * Chooses the tasks that make room for a waiting job of a team below its share, on the worker where
 * the least run time is interrupted. Undefined when no choice brings the teams closer to their
 * shares.
 *
 * A task is taken only while its team is above its share and above the level that the waiting team
 * reaches. The highest level involved therefore falls with each reclaim, so two teams cannot take
 * the same room from each other in turn.
 *
 * @example
 * const reclaim = chooseReclaim({ team, size, workers, free, tasks, levels })
 */
export function chooseReclaim(state: ReclaimState): Reclaim | undefined {
  const { team, size, levels } = state
  if (levels.of(team) >= 1) return undefined
  const reached = levels.of(team, [size])
  const byWorker = new Map<string, ReclaimableTask[]>()
  for (const task of state.tasks) {
    const { worker } = task.row
    byWorker.set(worker, [...(byWorker.get(worker) ?? []), task])
  }
  let best: (Reclaim & { lostMs: number }) | undefined
  for (const worker of state.workers) {
    const tasks = byWorker.get(worker.id) ?? []
    const free = state.free.get(worker.id)
    if (tasks.length === 0 || free === undefined || !fits(worker, size)) continue
    const taken = takeNewest({ ...state, reached, tasks, free })
    const lostMs = taken.reduce((sum, task) => sum + task.ageMs, 0)
    if (taken.length > 0 && (best === undefined || lostMs < best.lostMs)) {
      best = { worker, tasks: taken, lostMs }
    }
  }
  return best
}

interface WorkerState extends Omit<ReclaimState, 'free'> {
  free: WorkResources
  /** Level of the waiting team with the job. */
  reached: number
}

/** Tasks of one worker that together make enough room, or none. */
function takeNewest({ team, size, levels, reached, tasks, free }: WorkerState): ReclaimableTask[] {
  const room = sumOf([free])
  const taken: ReclaimableTask[] = []
  for (const task of [...tasks].sort((a, b) => a.ageMs - b.ageMs)) {
    if (fits(room, size)) break
    const { row } = task
    const before = taken.filter(each => each.row.team === row.team).map(each => negative(each.row))
    const level = levels.of(row.team, before)
    if (row.team === team || level <= 1 || level <= reached) continue
    taken.push(task)
    giveBack(room, row)
  }
  if (!fits(room, size)) return []
  // A newer small task is not needed once an older large one was taken; the oldest stay if possible.
  return taken.reduceRight<ReclaimableTask[]>((kept, task) => {
    const others = sumOf([room, negative(task.row)])
    if (!fits(others, size)) return [task, ...kept]
    giveBack(room, negative(task.row))
    return kept
  }, [])
}

function negative({ cpus, memoryMb, accelerators }: WorkResources): WorkResources {
  return { cpus: -cpus, memoryMb: -memoryMb, accelerators: -accelerators }
}
