import {
  planMoves,
  withHosts,
  type Fleet,
  type MoveOptions,
  type PlannedMove,
} from '@bulrushbridge/host-pools'
import { placeDisplaced, type DisplacedOptions, type PlacedTask } from './place-displaced.js'

/** One step of a withdrawal. A step begins when the one before it is in force. */
export type WithdrawalStep =
  | { kind: 'stop-starts'; zone: string }
  | { kind: 'lend'; moves: PlannedMove[] }
  | { kind: 'checkpoint'; tasks: string[] }
  | { kind: 'move'; tasks: PlacedTask[]; waiting: string[] }
  | { kind: 'drain'; hosts: string[]; finishing: string[] }

/** Input of {@link planWithdrawal}. */
export interface WithdrawalOptions
  extends Omit<MoveOptions, 'fleet'>, Omit<DisplacedOptions, 'displaced'> {
  zone: string
}

/**
 * Plans what happens when operators take a zone out. Starts stop first, because that is promised
 * within seconds and needs no capacity. Lending comes before the work moves, so that the drain of a
 * lent host begins as early as possible. Tasks that can save their progress are checkpointed and
 * continue elsewhere as far as capacity allows; all others finish where they run, within the drain.
 *
 * @example
 * const steps = planWithdrawal({ ...state, zone: 'north' })
 */
export function planWithdrawal(opts: WithdrawalOptions): WithdrawalStep[] {
  const fleet = zoneOut(opts.fleet, opts.zone)
  const inZone = new Set(fleet.hosts.filter(h => h.zone === opts.zone).map(({ id }) => id))
  const affected = opts.running.filter(task => inZone.has(task.host))
  const moving = affected.filter(({ checkpointable }) => checkpointable)
  const finishing = affected.filter(({ checkpointable }) => !checkpointable)
  const moves = planMoves({ ...opts, fleet })
  const leaving = new Set(moves.map(({ host }) => host))
  // A lent host drains, so it takes none of the displaced work.
  const open = withHosts(fleet, h => (leaving.has(h.id) ? { ...h, state: 'draining' } : h))
  const { placed, waiting } = placeDisplaced({ ...opts, fleet: open, displaced: moving })
  return [
    { kind: 'stop-starts', zone: opts.zone },
    { kind: 'lend', moves },
    { kind: 'checkpoint', tasks: moving.map(({ id }) => id) },
    { kind: 'move', tasks: placed, waiting },
    { kind: 'drain', hosts: [...inZone], finishing: finishing.map(({ id }) => id) },
  ]
}

/** The fleet with a zone taken out. */
export function zoneOut(fleet: Fleet, zone: string): Fleet {
  return { ...fleet, zonesOut: new Set([...fleet.zonesOut, zone]) }
}

/** Whether work may start on a host; the check belongs immediately before each start. */
export function mayStart(fleet: Fleet, hostId: string): boolean {
  const host = fleet.hosts.find(({ id }) => id === hostId)
  return host?.state === 'serving' && !fleet.zonesOut.has(host.zone)
}
