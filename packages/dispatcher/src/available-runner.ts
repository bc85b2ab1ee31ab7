import type { AvailableRunner, RunnerEntry } from '@bulrushbridge/scheduler'
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
  }
}
