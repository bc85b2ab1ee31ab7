import {
  maxUnconfirmedRuns,
  type AvailableRunner,
  type RunnerEntry,
} from '@bulrushbridge/scheduler'
import type { RunnerSession } from './runner-session.js'

/** Converts the session of an available runner into the input of `chooseStarts`. */
export function toAvailableRunner(session: RunnerSession, entry: RunnerEntry): AvailableRunner {
  const { free, finiteTasks, tasksByStep, servingTasks, fillerTasks, suspicion, loneTasks } =
    session.load
  return {
    id: session.id,
    pool: entry.pool,
    rack: session.rack,
    labels: entry.labels,
    capacity: entry.capacity,
    free: { ...free },
    tasksByStep,
    servingTasks,
    fillerTasks,
    finiteTasks,
    suspicion,
    isExclusive: loneTasks > 0,
    isLent: session.isLent,
    unconfirmedRuns: countUnconfirmedRuns(session),
  }
}

/** Zero while the number can't matter, so that not every run of a fleet is looked at. */
function countUnconfirmedRuns({ allocations }: RunnerSession): number {
  if (allocations.size < maxUnconfirmedRuns) return 0
  let count = 0
  for (const { confirmedAt } of allocations.values()) if (confirmedAt === undefined) count += 1
  return count
}
