import {
  planMoves,
  mapHosts,
  type Fleet,
  type MoveOptions,
  type PlannedMove,
} from '@bulrushbridge/host-pools'
import {
  placeDisplacedTasks,
  type DisplacedTasksOptions,
  type PlacedTask,
} from './place-displaced.js'

/** One step of a zone withdrawal. A step begins when the step before it is in force. */
export type WithdrawalStep =
  | { kind: 'stop-starts'; zone: string }
  | { kind: 'lend'; moves: PlannedMove[] }
  | { kind: 'checkpoint'; tasks: string[] }
  | { kind: 'move'; tasks: PlacedTask[]; waiting: string[] }
  | { kind: 'drain'; hosts: string[]; finishing: string[] }

/** Input of {@link planWithdrawal}. */
export interface WithdrawalOptions
  extends Omit<MoveOptions, 'fleet'>, Omit<DisplacedTasksOptions, 'displaced'> {
  /** Zone that is taken out. */
  zone: string
}

/**
 * Plans the steps of a withdrawal, in which operators take a zone out. Starts in the zone stop
 * first, because that is promised within seconds and needs no capacity. Hosts are lent to other
 * pools before tasks move, so that the drain of a lent host begins as early as possible. Tasks that
 * can save their progress are checkpointed and continue in other zones as far as capacity allows;
 * all others finish on their hosts during the drain.
 *
 * @example
 * const steps = planWithdrawal({ ...state, zone: 'north' })
 */
export function planWithdrawal(opts: WithdrawalOptions): WithdrawalStep[] {
  const fleet = withZoneOut(opts.fleet, opts.zone)
  const zoneHosts = new Set(fleet.hosts.filter(h => h.zone === opts.zone).map(({ id }) => id))
  const affectedTasks = opts.running.filter(task => zoneHosts.has(task.host))
  const movingTasks = affectedTasks.filter(({ isCheckpointable }) => isCheckpointable)
  const finishingTasks = affectedTasks.filter(({ isCheckpointable }) => !isCheckpointable)
  const moves = planMoves({ ...opts, fleet })
  const lentHosts = new Set(moves.map(({ host }) => host))
  // A lent host drains, so it takes no displaced tasks.
  const fleetAfterLending = mapHosts(fleet, h =>
    lentHosts.has(h.id) ? { ...h, state: 'draining' } : h,
  )
  const { placed, waiting } = placeDisplacedTasks({
    ...opts,
    fleet: fleetAfterLending,
    displaced: movingTasks,
  })
  return [
    { kind: 'stop-starts', zone: opts.zone },
    { kind: 'lend', moves },
    { kind: 'checkpoint', tasks: movingTasks.map(({ id }) => id) },
    { kind: 'move', tasks: placed, waiting },
    { kind: 'drain', hosts: [...zoneHosts], finishing: finishingTasks.map(({ id }) => id) },
  ]
}

/** Returns a copy of the fleet in which the zone is out. */
export function withZoneOut(fleet: Fleet, zone: string): Fleet {
  return { ...fleet, zonesOut: new Set([...fleet.zonesOut, zone]) }
}

/** Whether work may start on a host. Call it immediately before each start. */
export function canStartOnHost(fleet: Fleet, hostId: string): boolean {
  const host = fleet.hosts.find(({ id }) => id === hostId)
  return host?.state === 'serving' && !fleet.zonesOut.has(host.zone)
}
