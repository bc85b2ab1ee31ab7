import type { FleetHost } from './fleet.js'

/** A host's row. Each write increments the version by one, as in the table service. */
export interface HostRow {
  version: number
  host: FleetHost
  /** Pool that the host joins after its drain. */
  movingTo?: string
}

/**
 * Result of one step: the row to write, or why the step is not possible. The writer must check that
 * the stored row still has the version from which this one was computed.
 */
export type MoveResult =
  | { moved: true; row: HostRow }
  | {
      moved: false
      reason: 'version' | 'not-serving' | 'not-draining' | 'not-joining' | 'same-pool'
    }

type StepFunction = (row: HostRow, to: string) => MoveResult

/** Steps of a move, in order. */
export type MoveStep = 'drain' | 'leave' | 'join'

/**
 * The pool is a single field, so no write can put a host into two pools or none. `leave` replaces
 * the old pool by the new one in one write, and the host serves the new pool only after `join`.
 */
const steps: Record<MoveStep, StepFunction> = {
  drain: (row, to) => {
    if (row.host.state !== 'serving') return { moved: false, reason: 'not-serving' }
    if (row.host.pool === to) return { moved: false, reason: 'same-pool' }
    return nextRow(row, { ...row.host, state: 'draining' }, to)
  },
  leave: (row, to) => {
    if (row.host.state !== 'draining' || row.movingTo !== to) {
      return { moved: false, reason: 'not-draining' }
    }
    return nextRow(row, { ...row.host, state: 'joining', pool: to }, to)
  },
  join: (row, to) => {
    if (row.host.state !== 'joining' || row.movingTo !== to) {
      return { moved: false, reason: 'not-joining' }
    }
    return nextRow(row, { ...row.host, state: 'serving' })
  },
}

/** Returns the row with the next version and the changed host. */
function nextRow(row: HostRow, host: FleetHost, to?: string): MoveResult {
  return { moved: true, row: { version: row.version + 1, host, ...(to && { movingTo: to }) } }
}

/**
 * Computes one step of a move from the current row. `version` is the version on which the planner
 * decided. If another planner has written the row since, the reason is `version`, and the planner
 * plans again.
 *
 * @example
 * const result = computeMoveStep('drain', row, 'catalogue', row.version)
 */
export function computeMoveStep(
  step: MoveStep,
  row: HostRow,
  to: string,
  version: number,
): MoveResult {
  if (row.version !== version) return { moved: false, reason: 'version' }
  return steps[step](row, to)
}
