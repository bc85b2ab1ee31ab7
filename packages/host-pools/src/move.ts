import type { FleetHost } from './fleet.js'

/** A host's row. The version rises by one with each write, as in the table service. */
export interface HostRow {
  version: number
  host: FleetHost
  /** Pool that the host joins after its drain. */
  movingTo?: string
}

/** Result of one step: the row to write, checked against the version it was computed from. */
export type MoveResult =
  | { moved: true; row: HostRow }
  | {
      moved: false
      reason: 'version' | 'not-serving' | 'not-draining' | 'not-joining' | 'same-pool'
    }

type Step = (row: HostRow, to: string) => MoveResult

/** Steps of a move in order. */
export type MoveStep = 'drain' | 'leave' | 'join'

/**
 * The pool is one field, so that no write can put a host into two pools or none: `leave` replaces
 * the old pool by the new one in a single write, and the host serves the new pool only after `join`.
 */
const steps: Record<MoveStep, Step> = {
  drain: (row, to) => {
    if (row.host.state !== 'serving') return { moved: false, reason: 'not-serving' }
    if (row.host.pool === to) return { moved: false, reason: 'same-pool' }
    return next(row, { ...row.host, state: 'draining' }, to)
  },
  leave: (row, to) => {
    if (row.host.state !== 'draining' || row.movingTo !== to) {
      return { moved: false, reason: 'not-draining' }
    }
    return next(row, { ...row.host, state: 'joining', pool: to }, to)
  },
  join: (row, to) => {
    if (row.host.state !== 'joining' || row.movingTo !== to) {
      return { moved: false, reason: 'not-joining' }
    }
    return next(row, { ...row.host, state: 'serving' })
  },
}

function next(row: HostRow, host: FleetHost, to?: string): MoveResult {
  return { moved: true, row: { version: row.version + 1, host, ...(to && { movingTo: to }) } }
}

/**
 * Computes one step of a move from the row as it is now. `seen` is the version on which the planner
 * decided: a planner that raced with another one gets `version` and plans anew.
 *
 * @example
 * const result = moveHost('drain', row, 'catalogue', row.version)
 */
export function moveHost(step: MoveStep, row: HostRow, to: string, seen: number): MoveResult {
  if (row.version !== seen) return { moved: false, reason: 'version' }
  return steps[step](row, to)
}
