import type { TaskRow, WorkerRow, ResourceAmounts } from '@bulrushbridge/host'
import { fits, addResources, sumResources } from './work-resources.js'
import type { TeamShareLevels } from './team-share-levels.js'

/** A running task that may be checkpointed and stopped to free capacity. */
export interface ReclaimableTask {
  row: TaskRow
  /** How long it has run, in milliseconds. */
  ageMs: number
}

/** Input of {@link chooseReclaim}. */
export interface ReclaimInput {
  /** Team of the waiting job. */
  team: string
  /** Resources that the waiting job needs. */
  size: ResourceAmounts
  /** Workers that may take the job. */
  workers: readonly WorkerRow[]
  /** Free resources by worker id, without those reserved for other jobs. */
  free: ReadonlyMap<string, ResourceAmounts>
  tasks: readonly ReclaimableTask[]
  levels: TeamShareLevels
}

/** The tasks to stop for a waiting job, and their worker. */
export interface Reclaim {
  worker: WorkerRow
  tasks: ReclaimableTask[]
}

/**
 * Chooses the tasks to stop for a waiting job of a team below its share, on the worker where the
 * least run time is interrupted. Returns undefined when no choice brings the teams closer to their
 * shares.
 *
 * A task is chosen only while its team is above its share and above the level that the waiting team
 * reaches with the job. The highest level involved therefore falls with each reclaim, so two teams
 * cannot reclaim the same capacity from each other in turn.
 *
 * @example
 * const reclaim = chooseReclaim({ team, size, workers, free, tasks, levels })
 */
export function chooseReclaim(input: ReclaimInput): Reclaim | undefined {
  const { team, size, levels } = input
  if (levels.levelOf(team) >= 1) return undefined
  const levelWithJob = levels.levelOf(team, [size])
  const byWorker = new Map<string, ReclaimableTask[]>()
  for (const task of input.tasks) {
    const { worker } = task.row
    byWorker.set(worker, [...(byWorker.get(worker) ?? []), task])
  }
  let best: (Reclaim & { interruptedMs: number }) | undefined
  for (const worker of input.workers) {
    const tasks = byWorker.get(worker.id) ?? []
    const free = input.free.get(worker.id)
    if (tasks.length === 0 || free === undefined || !fits(worker, size)) continue
    const selected = selectTasksToStop({ ...input, levelWithJob, tasks, free })
    const interruptedMs = selected.reduce((sum, task) => sum + task.ageMs, 0)
    if (selected.length > 0 && (best === undefined || interruptedMs < best.interruptedMs)) {
      best = { worker, tasks: selected, interruptedMs }
    }
  }
  return best
}

/** Input for the choice on one worker. */
interface WorkerReclaimInput extends Omit<ReclaimInput, 'free'> {
  free: ResourceAmounts
  /** Level of the waiting team once the job runs. */
  levelWithJob: number
}

/** Tasks of one worker whose stop frees enough for the job, newest first; empty if too little. */
function selectTasksToStop({
  team,
  size,
  levels,
  levelWithJob,
  tasks,
  free,
}: WorkerReclaimInput): ReclaimableTask[] {
  const available = sumResources([free])
  const selected: ReclaimableTask[] = []
  for (const task of [...tasks].sort((a, b) => a.ageMs - b.ageMs)) {
    if (fits(available, size)) break
    const { row } = task
    const stoppedOfTeam = selected
      .filter(each => each.row.team === row.team)
      .map(each => negate(each.row))
    const level = levels.levelOf(row.team, stoppedOfTeam)
    if (row.team === team || level <= 1 || level <= levelWithJob) continue
    selected.push(task)
    addResources(available, row)
  }
  if (!fits(available, size)) return []
  // An older large task may make the stop of newer small ones unnecessary; keeps the oldest first.
  return selected.reduceRight<ReclaimableTask[]>((kept, task) => {
    const availableWithoutTask = sumResources([available, negate(task.row)])
    if (!fits(availableWithoutTask, size)) return [task, ...kept]
    addResources(available, negate(task.row))
    return kept
  }, [])
}

function negate({ cpus, memoryMb, accelerators }: ResourceAmounts): ResourceAmounts {
  return { cpus: -cpus, memoryMb: -memoryMb, accelerators: -accelerators }
}
