import { defineSettings } from '@bulrushbridge/settings'
import { command } from 'cmd-ts'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { z } from 'zod'
import { WorkerTasks, type OnTaskStart, type WorkerTask } from './worker-tasks.js'

/** Fault switches of a worker. Each may be changed at any time. */
export interface WorkerFaults {
  /** Every task fails as soon as it has started. */
  failAll: boolean
  /** Holds all requests until switched off, while tasks continue and leases expire. */
  freeze: boolean
  /** Delay before each request takes effect, in milliseconds. */
  slowMs: number
  /** Number of next requests that take effect and whose responses are lost. */
  loseAnswers: number
  /** Number of next starts that take effect and whose responses are lost. */
  loseStarts: number
  /** Number of next renewals that take effect and whose responses are lost. */
  loseRenewals: number
  /** Closes each connection before its request takes effect, as a broken network does. */
  cut: boolean
  /** Run time before a task reports its usage, in milliseconds; until then it reports none. */
  usageLagMs: number
  /** Refuses to start tasks, with status 507. */
  reject: boolean
}

/** Options of {@link createWorkerStandin}. */
export interface WorkerOptions {
  host?: string
  port?: number
  id: string
  rack: string
  zone: string
  cpus?: number
  memoryMb?: number
  accelerators?: number
  onStart?: OnTaskStart
}

/** Body of `POST /tasks`. */
const taskSchema = z.object({
  taskId: z.string().min(1),
  jobId: z.string().min(1),
  team: z.string().min(1),
  fencingToken: z.int().min(0),
  boot: z.string(),
  startBefore: z.number(),
  leaseDeadlineMs: z.number().min(0),
  cpus: z.number().min(0),
  memoryMb: z.number().min(0),
  accelerators: z.number().min(0),
  payload: z.unknown(),
  checkpoint: z.unknown().optional(),
})

/** Body of `PUT /leases`. */
const leaseSchema = z.object({
  taskIds: z.array(z.string()),
  until: z.number(),
  fencingToken: z.int().min(0),
})

/** Body of `POST /tasks/{id}/stop` and `POST /tasks/{id}/checkpoint`. */
const fencedCallSchema = z.object({ fencingToken: z.int().min(0) })

const throttleSchema = fencedCallSchema.extend({ on: z.boolean() })

interface WorkerResponse {
  status: number
  body: unknown
}

/**
 * Starts a stand-in of a worker, which simulates tasks under leases. The payload
 * `{ runMs, fail, saves }` of a task sets how long it runs, whether it fails and whether it can save
 * a checkpoint.
 *
 * @example
 * const worker = await createWorkerStandin({ id: 'w1', rack: 'r1', zone: 'a' })
 */
export async function createWorkerStandin(opts: WorkerOptions) {
  const { cpus = 16, memoryMb = 65_536, accelerators = 0 } = opts
  const faults: WorkerFaults = {
    failAll: false,
    freeze: false,
    slowMs: 0,
    loseAnswers: 0,
    loseStarts: 0,
    loseRenewals: 0,
    cut: false,
    usageLagMs: 0,
    reject: false,
  }
  const tasks = new WorkerTasks({ cpus, memoryMb, accelerators }, faults, opts.onStart)
  const sockets = new Set<Socket>()

  const switchFaults = (changes: Record<string, unknown>) => {
    const current = faults as unknown as Record<string, unknown>
    const wrong = Object.keys(changes).filter(key => typeof changes[key] !== typeof current[key])
    // An unknown name or a wrong type must fail, or a test would run without its fault.
    if (wrong.length > 0) throw new Error(`not a switch: ${wrong.join(', ')}`)
    return Object.assign(faults, changes)
  }

  const handle = (method: string, path: string[], body: string): WorkerResponse => {
    const [root, id, action] = path
    if (root === 'health') return { status: 200, body: { state: 'ok' } }
    if (root === 'faults' && method === 'POST') {
      return { status: 200, body: switchFaults(JSON.parse(body) as Record<string, unknown>) }
    }
    if (root === 'counters') return { status: 200, body: tasks.counters() }
    if (root === 'clock') return { status: 200, body: tasks.clock() }
    if (root === 'leases') return tasks.renew(leaseSchema.parse(JSON.parse(body)))
    if (root !== 'tasks') return { status: 404, body: { error: 'not found' } }
    if (id === undefined && method === 'GET') {
      return { status: 200, body: { tasks: tasks.list(), ...tasks.clock() } }
    }
    if (id === undefined) return tasks.start(taskSchema.parse(JSON.parse(body)))
    if (method === 'GET') return tasks.get(id)
    if (action === 'throttle') return tasks.throttle(id, throttleSchema.parse(JSON.parse(body)))
    const { fencingToken } = fencedCallSchema.parse(JSON.parse(body))
    if (action === 'stop') return tasks.stop(id, fencingToken)
    if (action === 'checkpoint') return tasks.checkpoint(id, fencingToken)
    return { status: 404, body: { error: 'not found' } }
  }

  const serve = async (req: IncomingMessage, res: ServerResponse) => {
    const chunks: Buffer[] = []
    for await (const chunk of req) chunks.push(chunk as Buffer)
    const path = (req.url ?? '').split('/').slice(1).map(decodeURIComponent)
    const isControl = path[0] === 'faults' || path[0] === 'counters'
    if (!isControl && faults.cut) return void req.socket.destroy()
    if (!isControl) {
      while (faults.freeze) await sleep(10)
      if (faults.slowMs > 0) await sleep(faults.slowMs)
    }
    let response: WorkerResponse
    try {
      response = handle(req.method ?? 'GET', path, Buffer.concat(chunks).toString())
    } catch (err) {
      response = { status: 400, body: { error: String(err) } }
    }
    const lossSwitch = activeLossSwitch(faults, req.method, path)
    if (!isControl && lossSwitch !== undefined) {
      faults[lossSwitch] -= 1
      req.socket.destroy()
      return
    }
    res.writeHead(response.status, { 'content-type': 'application/json' })
    res.end(JSON.stringify(response.body))
  }

  const server = createServer((req, res) => {
    serve(req, res).catch(() => req.socket.destroy())
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise<void>(resolve =>
    server.listen(opts.port ?? 0, opts.host ?? '127.0.0.1', resolve),
  )
  const { address, port } = server.address() as AddressInfo
  const { id, rack, zone } = opts
  return {
    /** The worker as an entry of the host list. */
    listedHost: { id, rack, zone, address: `${address}:${port}`, cpus, memoryMb, accelerators },
    address: `${address}:${port}`,
    faults,
    tasks: (): WorkerTask[] => tasks.list(),
    counters: () => tasks.counters(),
    /** Stops at once, as a killed process does; its tasks end too. */
    close: async () => {
      faults.freeze = false
      tasks.close()
      const closed = new Promise(resolve => server.close(resolve))
      for (const socket of sockets) socket.destroy()
      await closed
    },
  }
}

/** Returns the name of the fault switch that makes the response to a call be lost, if any. */
function activeLossSwitch(faults: WorkerFaults, method: string | undefined, path: string[]) {
  if (faults.loseAnswers > 0) return 'loseAnswers'
  if (path[0] === 'leases' && faults.loseRenewals > 0) return 'loseRenewals'
  const isStart = method === 'POST' && path[0] === 'tasks' && path[1] === undefined
  return isStart && faults.loseStarts > 0 ? 'loseStarts' : undefined
}

/** A running stand-in of a worker. */
export type WorkerStandin = Awaited<ReturnType<typeof createWorkerStandin>>

const nonNegativeInteger = z.coerce.number().int().min(0)
const settings = {
  host: { schema: z.string(), description: 'address to listen on', default: '127.0.0.1' },
  port: {
    schema: nonNegativeInteger.max(65_535),
    description: 'port; 0 takes a free one',
    default: '0',
  },
  id: { schema: z.string(), description: 'id of the worker', default: 'worker' },
  rack: { schema: z.string(), description: 'its rack', default: 'r1' },
  zone: { schema: z.string(), description: 'its availability zone', default: 'a' },
  cpus: { schema: nonNegativeInteger, description: 'processors', default: '16' },
  'memory-mb': { schema: nonNegativeInteger, description: 'memory in MiB', default: '65536' },
  accelerators: { schema: nonNegativeInteger, description: 'accelerators', default: '0' },
}

/** The command `bulrush-standin worker`. */
export const workerCommand = command({
  name: 'worker',
  description: 'worker that runs tasks under leases',
  args: defineSettings(settings),
  handler: async ({ 'memory-mb': memoryMb, ...args }) => {
    const worker = await createWorkerStandin({ ...args, memoryMb })
    process.stdout.write(`${JSON.stringify({ standin: 'worker', address: worker.address })}\n`)
    for (const signal of ['SIGINT', 'SIGTERM'] as const) {
      process.once(signal, () => void worker.close())
    }
  },
})
