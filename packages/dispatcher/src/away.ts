import type { StepState } from '@bulrushbridge/scheduler'
import { occupantKey } from './occupant.js'
import type { RunnerSession } from './runner-session.js'

/** `percent` of a lasting task that is at work. */
const atWorkPercent = 100

/**
 * Counts the tasks of a lasting step that are not at work, except on one runner if it is named.
 *
 * @example
 * const away = countAway(step, sessions, leavingRunnerId)
 */
export function countAway(
  step: StepState,
  sessions: ReadonlyMap<string, RunnerSession>,
  exceptRunnerId?: string,
): number {
  return step.tasks.filter(({ name, run }) => {
    if (run === undefined) return true
    if (run.runnerId === exceptRunnerId) return false
    const session = sessions.get(run.runnerId)
    const occupant = session?.occupants.get(occupantKey(name, run.number))
    const isReached = session !== undefined && session.suspectSince === undefined
    if (!isReached || session.isLeaving) return true
    return occupant?.state !== 'present' || occupant.percent < atWorkPercent
  }).length
}
