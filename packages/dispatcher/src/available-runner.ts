import { stepName, type AvailableRunner, type RunnerEntry } from '@bulrushbridge/scheduler'
import type { RunnerSession } from './runner-session.js'

/** Converts the session of an available runner into the input of `chooseStarts`. */
export function toAvailableRunner(session: RunnerSession, entry: RunnerEntry): AvailableRunner {
  const tasksByStep = new Map<string, number>()
  let serving = 0
  let fillers = 0
  for (const { task } of session.allocations.values()) {
    if (task === undefined) continue
    const name = stepName(task.step)
    tasksByStep.set(name, (tasksByStep.get(name) ?? 0) + 1)
    if (task.step.definition.isFiller === true) fillers += 1
    else if (task.step.definition.targetMs !== undefined) serving += 1
  }
  return {
    id: session.id,
    pool: entry.pool,
    rack: session.rack,
    labels: entry.labels,
    capacity: entry.capacity,
    free: { ...session.free },
    tasksByStep,
    servingTasks: serving,
    fillerTasks: fillers,
    isLent: session.isLent,
  }
}
