import type { StepExecution } from '@bulrushbridge/scheduler'
import { allocationKey } from './allocation.js'
import type { RunnerSession } from './runner-session.js'

/** `percent` that the run of a lasting task reports while it is working. */
const workingPercent = 100

/**
 * Counts the tasks of a lasting step that are not working; the tasks of such a step run until their
 * job is cancelled. Tasks on the runner `exceptRunnerId` are left out if it is given.
 *
 * @example
 * const unavailable = countUnavailableTasks(step, sessions, leavingRunnerId)
 */
export function countUnavailableTasks(
  step: StepExecution,
  sessions: ReadonlyMap<string, RunnerSession>,
  exceptRunnerId?: string,
): number {
  return step.tasks.filter(({ name, run }) => {
    if (run === undefined) return true
    if (run.runnerId === exceptRunnerId) return false
    const session = sessions.get(run.runnerId)
    const allocation = session?.allocations.get(allocationKey(name, run.number))
    const isReachable = session !== undefined && session.unreachableSince === undefined
    if (!isReachable || session.isUpkeepExpected) return true
    return allocation?.state !== 'present' || allocation.percent < workingPercent
  }).length
}
