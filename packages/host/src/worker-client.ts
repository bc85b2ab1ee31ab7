import type { Clock } from '@bulrushbridge/errors'
import { Pool } from 'undici'
import { z } from 'zod'
import type { ResourceAmounts } from './rows.js'

/** Most connections to one worker. */
const connectionsPerWorker = 2

const taskSchema = z.object({
  taskId: z.string(),
  state: z.enum(['running', 'finished', 'failed', 'stopped', 'lapsed', 'fenced']),
  /** False if the worker has never started the task. */
  started: z.boolean(),
  runMs: z.number(),
  usage: z.object({ cpus: z.number(), memoryMb: z.number(), accelerators: z.number() }),
  checkpoint: z.unknown().optional(),
})

const clockSchema = z.object({ now: z.number(), boot: z.string() })
const listSchema = clockSchema.extend({ tasks: z.array(taskSchema) })

/** Time on a worker's clock in milliseconds, with the boot id; the clock restarts at each boot. */
export type WorkerClock = z.infer<typeof clockSchema>

/** A task as the worker reports it. */
export type ReportedTask = z.infer<typeof taskSchema>

/** Request to start a task on a worker. */
export interface StartTaskRequest extends ResourceAmounts {
  taskId: string
  jobId: string
  team: string
  fencingToken: number
  /** Boot id of the worker; after another boot it refuses the start and fences the task id. */
  boot: string
  /** Time on the worker's clock after which it refuses the start and fences the task id. */
  startBefore: number
  /** Duration of the lease from the arrival of the request, in milliseconds. */
  leaseDeadlineMs: number
  payload: unknown
  checkpoint?: unknown
}

/**
 * Result of a request to start a task.
 *
 * - `started`: the worker has started the task, now or before.
 * - `ended`: the task has ended, or the worker has fenced its id.
 * - `stale`: the worker has seen a higher fencing token.
 * - `full`: the worker lacks resources for the task.
 */
export type StartTaskResult = 'started' | 'ended' | 'stale' | 'full'

/** The worker gave no valid response in time; the call may have taken effect all the same. */
export class WorkerError extends Error {
  override readonly name = 'WorkerError'
}

/** Client of a worker's task service. Each call ends by its deadline, on the client's clock. */
export interface WorkerClient {
  start(task: StartTaskRequest, deadline: number): Promise<StartTaskResult>
  /**
   * Extends the leases of tasks up to a time on the worker's clock, so that a call that arrives late
   * cannot prolong a lease further. Returns the ids of the tasks that still run.
   */
  renew(
    lease: { taskIds: string[]; until: number; fencingToken: number },
    deadline: number,
  ): Promise<string[]>
  /** Stops a task. An id that never started is fenced, so that a late start is refused. */
  stop(taskId: string, fencingToken: number, deadline: number): Promise<ReportedTask>
  /** Makes a task save its progress. A report without `checkpoint` means that it saved nothing. */
  checkpoint(taskId: string, fencingToken: number, deadline: number): Promise<ReportedTask>
  /** Starts or stops throttling a task. */
  throttle(taskId: string, opts: { on: boolean; token: number }, deadline: number): Promise<void>
  /** Returns the worker's tasks, and its clock at the time of the report. */
  list(deadline: number): Promise<WorkerClock & { tasks: ReportedTask[] }>
  /** Returns the worker's clock. */
  clock(deadline: number): Promise<WorkerClock>
  close(): Promise<void>
}

/**
 * Creates a client of a worker's task service.
 *
 * @example
 * const worker = createWorkerClient({ address: '10.0.0.7:7300', clock })
 * const { tasks } = await worker.list(clock.now() + 2_000)
 */
export function createWorkerClient(opts: { address: string; clock: Clock }): WorkerClient {
  const pool = new Pool(`http://${opts.address}`, { connections: connectionsPerWorker })
  const call = async (
    method: 'GET' | 'POST' | 'PUT',
    path: string,
    deadline: number,
    body?: unknown,
  ) => {
    const remainingMs = Math.max(1, Math.ceil(deadline - opts.clock.now()))
    try {
      const res = await pool.request({
        method,
        path,
        signal: AbortSignal.timeout(remainingMs),
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      })
      return { status: res.statusCode, body: await res.body.json() }
    } catch (cause) {
      throw new WorkerError(`the worker ${opts.address} did not answer`, { cause })
    }
  }
  const unexpectedStatus = (status: number) =>
    new WorkerError(`the worker ${opts.address} answered with status ${status}`)
  const callTask = async (taskId: string, action: string, body: object, deadline: number) => {
    const path = `/tasks/${encodeURIComponent(taskId)}/${action}`
    const res = await call('POST', path, deadline, body)
    const parsed = taskSchema.safeParse(res.body)
    if (res.status !== 200 || !parsed.success) throw unexpectedStatus(res.status)
    return parsed.data
  }

  return {
    start: async (task, deadline) => {
      const { status, body } = await call('POST', '/tasks', deadline, task)
      if (status === 200 || status === 201) return 'started'
      if (status === 507) return 'full'
      if (status !== 409) throw unexpectedStatus(status)
      return taskSchema.safeParse(body).success ? 'ended' : 'stale'
    },
    renew: async (lease, deadline) => {
      const { status, body } = await call('PUT', '/leases', deadline, lease)
      const parsed = z.object({ renewed: z.array(z.string()) }).safeParse(body)
      if (status !== 200 || !parsed.success) throw unexpectedStatus(status)
      return parsed.data.renewed
    },
    stop: (taskId, fencingToken, deadline) => callTask(taskId, 'stop', { fencingToken }, deadline),
    checkpoint: (taskId, fencingToken, deadline) =>
      callTask(taskId, 'checkpoint', { fencingToken }, deadline),
    throttle: async (taskId, { on, token }, deadline) => {
      await callTask(taskId, 'throttle', { fencingToken: token, on }, deadline)
    },
    list: async deadline => {
      const { status, body } = await call('GET', '/tasks', deadline)
      const parsed = listSchema.safeParse(body)
      if (status !== 200 || !parsed.success) throw unexpectedStatus(status)
      return parsed.data
    },
    clock: async deadline => {
      const { status, body } = await call('GET', '/clock', deadline)
      const parsed = clockSchema.safeParse(body)
      if (status !== 200 || !parsed.success) throw unexpectedStatus(status)
      return parsed.data
    },
    close: () => pool.destroy(),
  }
}
