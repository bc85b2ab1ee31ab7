import type { RequestedResources } from '@bulrushbridge/jobs'

/** Table of workers and the pools they belong to; the key is `<pool>/<worker>`. */
export const hostsTable = 'hosts'

/** Table of claimed tasks; the key is `<pool>/<task id>`. */
export const tasksTable = 'tasks'

/** Amounts of resources; memory in MiB. */
export type ResourceAmounts = Pick<RequestedResources, 'cpus' | 'memoryMb' | 'accelerators'>

/** Row of a worker, written by the owner of its pool. */
export interface WorkerRow extends ResourceAmounts {
  id: string
  pool: string
  rack: string
  zone: string
  /** IPv4 address and port of the worker's task service. */
  address: string
}

/**
 * State of a task in its row.
 *
 * - `starting`: the task is claimed; the worker may or may not have been called.
 * - `running`: the worker has reported that the task started.
 * - `stopping`: the task must end, because it was cancelled, its zone was taken out of service or it
 *   was superseded.
 */
export type TaskRowState = 'starting' | 'running' | 'stopping'

/** Row of a claimed task, which exists until the task is known to have ended. */
export interface TaskRow extends ResourceAmounts {
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
  state: TaskRowState
  idempotent: boolean
  urgent: boolean
  /** Kind of the job; task sizes and run times are learned per kind. */
  kind: string
  /** Losses of workers that counted against the job at the claim. */
  workerLosses?: number
  /** Fencing token under which the task was claimed. */
  token: number
  /** Boot id of the worker at the claim. After a reboot the worker cannot tell if it ran the task. */
  boot: string
}

/** Returns the key of a worker's row in `hosts`. */
export function workerKey(pool: string, worker: string): string {
  return `${pool}/${worker}`
}

/** Returns the key of a task's row in `tasks`. */
export function taskKey(task: Pick<TaskRow, 'pool' | 'taskId'>): string {
  return `${task.pool}/${task.taskId}`
}

/** Returns the range of the keys of a pool's rows in `hosts` and `tasks`. */
export function poolKeyRange(pool: string): { from: string; to: string } {
  // "0" is the character after "/".
  return { from: `${pool}/`, to: `${pool}0` }
}
