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
  let available = 0
  let elsewhere = 0
  for (const { name, run } of step.tasks.kept()) {
    if (run === undefined) continue
    if (run.runnerId === exceptRunnerId) {
      elsewhere += 1
      continue
    }
    const session = sessions.get(run.runnerId)
    if (session?.unreachableSince !== undefined || session?.isUpkeepExpected !== false) continue
    const allocation = session.allocations.get(allocationKey(name, run.number))
    if (allocation?.state === 'present' && allocation.percent >= workingPercent) available += 1
  }
  return step.tasks.length - available - elsewhere
}
