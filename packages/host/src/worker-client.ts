import type { Clock } from '@bulrushbridge/errors'
import { Pool } from 'undici'
import { z } from 'zod'
import type { WorkResources } from './rows.js'

/** Connections to one worker. */
const connectionsPerWorker = 2

const taskSchema = z.object({
  taskId: z.string(),
  state: z.enum(['running', 'finished', 'failed', 'stopped', 'lapsed', 'fenced']),
  /** False when the worker has never started the task. */
  started: z.boolean(),
  runMs: z.number(),
  usage: z.object({ cpus: z.number(), memoryMb: z.number(), accelerators: z.number() }),
  checkpoint: z.unknown().optional(),
})

const clockSchema = z.object({ now: z.number(), boot: z.string() })
const listSchema = clockSchema.extend({ tasks: z.array(taskSchema) })

/** A worker's clock in milliseconds, which starts anew with each boot. */
export type WorkerClock = z.infer<typeof clockSchema>

/** A task as the worker reports it. */
export type ReportedTask = z.infer<typeof taskSchema>

/** What a worker is asked to start. */
export interface StartTask extends WorkResources {
  taskId: string
  jobId: string
  team: string
  fencingToken: number
  /** Boot and time on the worker's clock after which it refuses the start and fences the id. */
  boot: string
  startBefore: number
  /** Lifetime of the lease from the arrival of the call, in milliseconds. */
  leaseDeadlineMs: number
  payload: unknown
  checkpoint?: unknown
}

/**
 * Answer to a start: `ended` when the task id has ended or was fenced before, `stale` when the
 * worker has seen a higher fencing token, `full` when resources are lacking.
 */
export type StartAnswer = 'started' | 'ended' | 'stale' | 'full'

/** The worker did not answer in time, or its answer was not understood; the call may have acted. */
export class WorkerError extends Error {
  override readonly name = 'WorkerError'
}

/** The task service of one worker. Each call ends by its deadline. */
export interface WorkerClient {
  start(task: StartTask, deadline: number): Promise<StartAnswer>
  /**
   * Renews the leases of tasks up to a time on the worker's clock; returns the ids of those that
   * still run. A call that arrives late therefore cannot prolong a lease.
   */
  renew(
    lease: { taskIds: string[]; until: number; fencingToken: number },
    deadline: number,
  ): Promise<string[]>
  /** Ends the task; an id that never started is fenced, so that a late start is refused. */
  stop(taskId: string, fencingToken: number, deadline: number): Promise<ReportedTask>
  /** Saves the task's progress; without `checkpoint` in the report the task has saved nothing. */
  checkpoint(taskId: string, fencingToken: number, deadline: number): Promise<ReportedTask>
  /** Slows the task down, or ends that. */
  throttle(taskId: string, opts: { on: boolean; token: number }, deadline: number): Promise<void>
  /** The tasks, and the worker's clock at the time of the report in milliseconds. */
  list(deadline: number): Promise<WorkerClock & { tasks: ReportedTask[] }>
  clock(deadline: number): Promise<WorkerClock>
  close(): Promise<void>
}

/**
 * Creates the client of a worker.
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
    const leftMs = Math.max(1, Math.ceil(deadline - opts.clock.now()))
    try {
      const res = await pool.request({
        method,
        path,
        signal: AbortSignal.timeout(leftMs),
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      })
      return { status: res.statusCode, body: await res.body.json() }
    } catch (cause) {
      throw new WorkerError(`the worker ${opts.address} did not answer`, { cause })
    }
  }
  const unexpected = (status: number) =>
    new WorkerError(`the worker ${opts.address} answered with status ${status}`)
  const act = async (taskId: string, action: string, body: object, deadline: number) => {
    const path = `/tasks/${encodeURIComponent(taskId)}/${action}`
    const res = await call('POST', path, deadline, body)
    const parsed = taskSchema.safeParse(res.body)
    if (res.status !== 200 || !parsed.success) throw unexpected(res.status)
    return parsed.data
  }

  return {
    start: async (task, deadline) => {
      const { status, body } = await call('POST', '/tasks', deadline, task)
      if (status === 200 || status === 201) return 'started'
      if (status === 507) return 'full'
      if (status !== 409) throw unexpected(status)
      return taskSchema.safeParse(body).success ? 'ended' : 'stale'
    },
    renew: async (lease, deadline) => {
      const { status, body } = await call('PUT', '/leases', deadline, lease)
      const parsed = z.object({ renewed: z.array(z.string()) }).safeParse(body)
      if (status !== 200 || !parsed.success) throw unexpected(status)
      return parsed.data.renewed
    },
    stop: (taskId, fencingToken, deadline) => act(taskId, 'stop', { fencingToken }, deadline),
    checkpoint: (taskId, fencingToken, deadline) =>
      act(taskId, 'checkpoint', { fencingToken }, deadline),
    throttle: async (taskId, { on, token }, deadline) => {
      await act(taskId, 'throttle', { fencingToken: token, on }, deadline)
    },
    list: async deadline => {
      const { status, body } = await call('GET', '/tasks', deadline)
      const parsed = listSchema.safeParse(body)
      if (status !== 200 || !parsed.success) throw unexpected(status)
      return parsed.data
    },
    clock: async deadline => {
      const { status, body } = await call('GET', '/clock', deadline)
      const parsed = clockSchema.safeParse(body)
      if (status !== 200 || !parsed.success) throw unexpected(status)
      return parsed.data
    },
    close: () => pool.destroy(),
  }
}
