import type { Fleet, FleetHost } from '@bulrushbridge/host-pools'
import { sortByDominantShare } from '@bulrushbridge/team-share'

/** A task that runs on a host. */
export interface RunningTask {
  id: string
  team: string
  host: string
  cores: number
  memoryGb: number
  /** Whether the progress of the task can be saved. */
  isCheckpointable: boolean
}

/** A displaced task and the host on which it continues. */
export interface PlacedTask {
  task: string
  host: string
}

/** Input of {@link placeDisplacedTasks}. */
export interface DisplacedTasksOptions {
  fleet: Fleet
  /** Tasks of the whole fleet. */
  running: readonly RunningTask[]
  /** Tasks that must continue on another host; all of them are in `running` as well. */
  displaced: readonly RunningTask[]
  /** Share of each team. */
  shares: ReadonlyMap<string, number>
  /** Upper limit of running requests and tasks by team; a team without an entry has no limit. */
  limits: ReadonlyMap<string, number>
  /** Running requests and tasks by team, without the displaced tasks. */
  inUse: ReadonlyMap<string, number>
}

/** Result of {@link placeDisplacedTasks}. */
export interface DisplacedTasksPlacement {
  placed: PlacedTask[]
  /** Ids of tasks that wait for free capacity or until their team is below its limit. */
  waiting: string[]
}

/** Capacity of a host that no task uses. */
interface FreeCapacity {
  host: FleetHost
  cores: number
  memoryGb: number
}

/**
 * Chooses hosts for displaced tasks among the serving hosts of the same pool in the zones that are
 * not out. The team furthest below its share goes first. A task that does not fit waits, so the
 * other zones are never overloaded.
 *
 * @example
 * const { placed, waiting } = placeDisplacedTasks({ fleet, running, displaced, ...teamUsage })
 */
export function placeDisplacedTasks(opts: DisplacedTasksOptions): DisplacedTasksPlacement {
  const displaced = new Set(opts.displaced.map(({ id }) => id))
  const stayingTasks = opts.running.filter(({ id }) => !displaced.has(id))
  const pools = new Map(opts.fleet.hosts.map(({ id, pool }) => [id, pool]))
  const free = freeCapacity(opts.fleet, stayingTasks)
  const inUse = new Map(opts.inUse)
  const unplaced = [...opts.displaced]
  const runningTasks = [...stayingTasks]
  const placed: PlacedTask[] = []
  const waiting: string[] = []
  while (unplaced.length > 0) {
    const task = unplaced.splice(indexOfNextTask(unplaced, runningTasks, opts), 1)[0]
    if (task === undefined) break
    const teamInUse = inUse.get(task.team) ?? 0
    const target =
      teamInUse < (opts.limits.get(task.team) ?? Number.POSITIVE_INFINITY)
        ? hostWithMostFreeCores(free, task, pools.get(task.host))
        : undefined
    if (target === undefined) {
      waiting.push(task.id)
      continue
    }
    target.cores -= task.cores
    target.memoryGb -= task.memoryGb
    inUse.set(task.team, teamInUse + 1)
    runningTasks.push(task)
    placed.push({ task: task.id, host: target.host.id })
  }
  return { placed, waiting }
}

/** Free capacity of each host that may take displaced tasks. */
function freeCapacity(fleet: Fleet, stayingTasks: readonly RunningTask[]): FreeCapacity[] {
  return fleet.hosts
    .filter(host => host.state === 'serving' && !fleet.zonesOut.has(host.zone))
    .map(host => {
      const hostTasks = stayingTasks.filter(task => task.host === host.id)
      return {
        host,
        cores: hostTasks.reduce((sum, { cores }) => sum - cores, host.capacity.cores),
        memoryGb: hostTasks.reduce((sum, { memoryGb }) => sum - memoryGb, host.capacity.memoryGb),
      }
    })
}

/** The host of the pool with the most free cores on which the task fits. */
function hostWithMostFreeCores(
  free: FreeCapacity[],
  task: RunningTask,
  pool: string | undefined,
): FreeCapacity | undefined {
  return free
    .filter(capacity => capacity.host.pool === pool)
    .filter(({ cores, memoryGb }) => cores >= task.cores && memoryGb >= task.memoryGb)
    .sort((a, b) => b.cores - a.cores || (a.host.id < b.host.id ? -1 : 1))[0]
}

/** Index of the first unplaced task of the team furthest below its share. */
function indexOfNextTask(
  unplaced: readonly RunningTask[],
  runningTasks: readonly RunningTask[],
  { fleet, shares }: DisplacedTasksOptions,
): number {
  const capacity = {
    cpus: fleet.hosts.reduce((sum, host) => sum + host.capacity.cores, 0),
    memory: fleet.hosts.reduce((sum, host) => sum + host.capacity.memoryGb, 0),
    accelerators: 0,
  }
  const teams = [...new Set(unplaced.map(({ team }) => team))].map(team => {
    const teamTasks = runningTasks.filter(task => task.team === team)
    const cpus = teamTasks.reduce((sum, { cores }) => sum + cores, 0)
    const memory = teamTasks.reduce((sum, { memoryGb }) => sum + memoryGb, 0)
    return { team, weight: shares.get(team) ?? 0, usage: { cpus, memory, accelerators: 0 } }
  })
  const nextTeam = sortByDominantShare(teams, capacity)[0]?.team
  return Math.max(
    0,
    unplaced.findIndex(({ team }) => team === nextTeam),
  )
}
