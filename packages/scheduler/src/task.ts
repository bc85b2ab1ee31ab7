import type { StepExecution } from './job-execution.js'

/** A recorded run of a task on a runner. */
export interface TaskRun {
  number: number
  runnerId: string
  /**
   * When the runner started, in Unix milliseconds; tells it from later restarts with the same id.
   */
  runnerStartedAt: number
  /** The start may have been ordered; not stored, as every run of an earlier term may have been. */
  isOrdered: boolean
}

/** One task of a step. */
export interface Task {
  readonly name: string
  readonly step: StepExecution
  /** Position in the step, from 0. */
  readonly index: number
  isDone: boolean
  /** Number of runs that ended as failed. */
  failures: number
  /** Number of the last run; 0 before the first. */
  lastRun: number
  checkpoint: string
  /** The run that may be active; no other run starts while it is set. */
  run: TaskRun | undefined
  /**
   * Numbers of runs that were given up although their end was unknown; a runner may still report
   * it.
   */
  abandonedRuns: number[]
  /** Id of the runner of the last failed run, which the next run avoids. */
  lastFailedRunnerId: string | undefined
  /** Number of runners that crashed under the task, see `maxCrashes`. */
  crashes: number
}

/** Creates a task that never had a run. */
export function createTask(step: StepExecution, index: number): Task {
  return {
    name: `${step.name}.${index}`,
    step,
    index,
    isDone: false,
    failures: 0,
    lastRun: 0,
    checkpoint: '',
    run: undefined,
    abandonedRuns: [],
    lastFailedRunnerId: undefined,
    crashes: 0,
  }
}

/** The components of a task's name. */
export interface TaskName {
  jobId: string
  occurrence: number
  step: number
  index: number
}

/**
 * Parses a task's name, `<job id>.<occurrence>.<step>.<index>`; undefined if it has another number
 * of components. A job id must not contain a dot.
 */
export function parseTaskName(name: string): TaskName | undefined {
  const [jobId, occurrence, step, index, ...rest] = name.split('.')
  if (jobId === undefined || index === undefined || rest.length > 0) return undefined
  return { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) }
}
