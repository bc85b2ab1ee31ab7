import type { Fleet, FleetHost } from '@bulrushbridge/host-pools'
import { fairOrder } from '@bulrushbridge/team-share'

/** A task that runs on a host. Memory is in GB. */
export interface RunningTask {
  id: string
  team: string
  host: string
  cores: number
  memoryGb: number
  /** Whether its progress can be saved. */
  checkpointable: boolean
}

/** A task with the host on which it continues. */
export interface PlacedTask {
  task: string
  host: string
}

/** Input of {@link placeDisplaced}. */
export interface DisplacedOptions {
  fleet: Fleet
  /** Tasks of the whole fleet. */
  running: readonly RunningTask[]
  /** Tasks that need another host; they are part of `running`. */
  displaced: readonly RunningTask[]
  shares: ReadonlyMap<string, number>
  /** Upper limit of running requests and tasks per team. */
  limits: ReadonlyMap<string, number>
  /** Running requests and tasks per team without the displaced tasks. */
  inUse: ReadonlyMap<string, number>
}

/** Result of {@link placeDisplaced}. */
export interface Placement {
  placed: PlacedTask[]
  /** Tasks that wait for capacity or for room below their team's limit. */
  waiting: string[]
}

interface Free {
  host: FleetHost
  cores: number
  memoryGb: number
}

/**
 * Places displaced tasks on serving hosts of the same pool in the zones that remain. The team that
 * is furthest below its share goes first, and a task that does not fit waits, so the remaining zones
 * are never overloaded.
 *
 * @example
 * const { placed, waiting } = placeDisplaced({ fleet, running, displaced, shares, limits, inUse })
 */
export function placeDisplaced(opts: DisplacedOptions): Placement {
  const displaced = new Set(opts.displaced.map(({ id }) => id))
  const staying = opts.running.filter(({ id }) => !displaced.has(id))
  const pools = new Map(opts.fleet.hosts.map(({ id, pool }) => [id, pool]))
  const free = freeCapacity(opts.fleet, staying)
  const inUse = new Map(opts.inUse)
  const left = [...opts.displaced]
  const now = [...staying]
  const placed: PlacedTask[] = []
  const waiting: string[] = []
  while (left.length > 0) {
    const task = left.splice(nextIndex(left, now, opts), 1)[0]
    if (task === undefined) break
    const used = inUse.get(task.team) ?? 0
    const target =
      used < (opts.limits.get(task.team) ?? Number.POSITIVE_INFINITY)
        ? roomiest(free, task, pools.get(task.host))
        : undefined
    if (target === undefined) {
      waiting.push(task.id)
      continue
    }
    target.cores -= task.cores
    target.memoryGb -= task.memoryGb
    inUse.set(task.team, used + 1)
    now.push(task)
    placed.push({ task: task.id, host: target.host.id })
  }
  return { placed, waiting }
}

function freeCapacity(fleet: Fleet, staying: readonly RunningTask[]): Free[] {
  return fleet.hosts
    .filter(host => host.state === 'serving' && !fleet.zonesOut.has(host.zone))
    .map(host => {
      const own = staying.filter(task => task.host === host.id)
      return {
        host,
        cores: own.reduce((sum, { cores }) => sum - cores, host.capacity.cores),
        memoryGb: own.reduce((sum, { memoryGb }) => sum - memoryGb, host.capacity.memoryGb),
      }
    })
}

function roomiest(free: Free[], task: RunningTask, pool: string | undefined): Free | undefined {
  return free
    .filter(entry => entry.host.pool === pool)
    .filter(({ cores, memoryGb }) => cores >= task.cores && memoryGb >= task.memoryGb)
    .sort((a, b) => b.cores - a.cores || (a.host.id < b.host.id ? -1 : 1))[0]
}

/** Index of a task of the team that is furthest below its share. */
function nextIndex(
  left: readonly RunningTask[],
  now: readonly RunningTask[],
  { fleet, shares }: DisplacedOptions,
): number {
  const capacity = {
    cpus: fleet.hosts.reduce((sum, host) => sum + host.capacity.cores, 0),
    memory: fleet.hosts.reduce((sum, host) => sum + host.capacity.memoryGb, 0),
    accelerators: 0,
  }
  const teams = [...new Set(left.map(({ team }) => team))].map(team => {
    const own = now.filter(task => task.team === team)
    const cpus = own.reduce((sum, { cores }) => sum + cores, 0)
    const memory = own.reduce((sum, { memoryGb }) => sum + memoryGb, 0)
    return { team, weight: shares.get(team) ?? 0, usage: { cpus, memory, accelerators: 0 } }
  })
  const first = fairOrder(teams, capacity)[0]?.team
  return Math.max(
    0,
    left.findIndex(({ team }) => team === first),
  )
}
