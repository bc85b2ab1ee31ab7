import type { JobRequest } from '@bulrushbridge/jobs'

/** Table of workers and of the pool that each belongs to, key `<pool>/<worker>`. */
export const hostsTable = 'hosts'

/** Table of tasks, key `<pool>/<task id>`. */
export const tasksTable = 'tasks'

/** Amounts of resources; memory in MiB. */
export type WorkResources = Pick<JobRequest, 'cpus' | 'memoryMb' | 'accelerators'>

/** A worker as its row describes it; the row is written by the owner of the pool. */
export interface WorkerRow extends WorkResources {
  id: string
  pool: string
  rack: string
  zone: string
  /** IPv4:port of the worker's task service. */
  address: string
}

/**
 * State of a task.
 *
 * - `starting`: claimed; the worker may or may not have been called.
 * - `running`: the worker said that it started.
 * - `stopping`: it must end: cancelled, in a zone taken out, or superseded.
 */
export type TaskState = 'starting' | 'running' | 'stopping'

/** A claimed task; the row exists until the task is known to have ended. */
export interface TaskRow extends WorkResources {
  taskId: string
  jobId: string
  jobKey: string
  team: string
  queue: string
  pool: string
  worker: string
  address: string
  rack: string
  zone: string
  state: TaskState
  idempotent: boolean
  urgent: boolean
  /** Name of the job's kind, under which sizes and run times are learned. */
  kind: string
  /** Fencing token of the duty that claimed the task. */
  token: number
  /** Boot of the worker at the claim; another boot has forgotten whether it ran the task. */
  boot: string
}

/** Key of a worker's row. */
export function workerKey(pool: string, worker: string): string {
  return `${pool}/${worker}`
}

/** Key of a task's row. */
export function taskKey(task: Pick<TaskRow, 'pool' | 'taskId'>): string {
  return `${task.pool}/${task.taskId}`
}

/** Range of the rows of a pool in `hosts` and `tasks`. */
export function poolRange(pool: string): { from: string; to: string } {
  // "0" is the character after "/".
  return { from: `${pool}/`, to: `${pool}0` }
}
