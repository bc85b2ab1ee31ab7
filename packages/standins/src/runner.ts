import { defineSettings } from '@bulrushbridge/settings'
import { command } from 'cmd-ts'
import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { z } from 'zod'
import { seededRandom } from './faults.js'

/** Fault switches of a runner. Each may be changed at any time. */
export interface RunnerFaults {
  /** Connections that are open when it is switched on get no more responses; new ones work. */
  silent: boolean
  /** Delay before each response, in milliseconds. */
  lateMs: number
  /** Responds as if to another request, with a different id in the header and the body. */
  crossed: boolean
  /** Closes the connection after half of the bytes of the response. */
  cut: boolean
  /** Closes the connection when the work starts; the work continues. */
  cutBefore: boolean
  /** Refuses work with status 503 and the outcome `not-run`. */
  refuse: boolean
  /** Runs the work, then responds with status 500. */
  failAll: boolean
  /** Factor on the work time. */
  slowFactor: number
  /** Reads and responds to nothing but `/faults`, not even health checks, until switched off. */
  freeze: boolean
  /** Work continues after the deadline of its request. */
  overrunDeadline: boolean
}

/** Returns fault switches of a runner that are all off. */
export function noRunnerFaults(): RunnerFaults {
  return {
    silent: false,
    lateMs: 0,
    crossed: false,
    cut: false,
    cutBefore: false,
    refuse: false,
    failAll: false,
    slowFactor: 1,
    freeze: false,
    overrunDeadline: false,
  }
}

/** Options of {@link createRunnerStandin}. */
export interface RunnerOptions {
  host: string
  port: number
  id: string
  zone: string
  slots?: number
  connections?: number
  /** Work time of a request without a query parameter `ms`, in milliseconds. */
  workMs?: number
  /** Seed of the random work times, which vary by up to 10 %. */
  seed?: number
  /** Called when work starts; the function that it returns is called when the work has ended. */
  onStart?: (start: RunnerStart) => () => void
}

/** A request whose work a runner has started. */
export interface RunnerStart {
  runner: string
  zone: string
  team: string
  requestId: string
  /** Path and query of the request. */
  path: string
  idempotencyKey: string | undefined
}

/** Counters of the work of a runner, as `GET /stats` returns them. */
export interface RunnerStats {
  id: string
  zone: string
  /** Requests that run now, by team. */
  running: Record<string, number>
  /** Most requests that ran at once, by team. */
  maxRunning: Record<string, number>
  /** Starts by request id. */
  startsById: Record<string, number>
  /** Starts by idempotency key. */
  startsByKey: Record<string, number>
  /** Wall-clock milliseconds of each start, oldest first; the newest 100,000 are kept. */
  startedAt: number[]
  /** Connections that are open now. */
  connections: number
}

const maxStartTimes = 100_000

function incrementCount(counts: Record<string, number>, name: string, by = 1): number {
  return (counts[name] = (counts[name] ?? 0) + by)
}

/**
 * Starts a stand-in of a runner, which simulates the work of a service's requests.
 *
 * @example
 * const runner = await createRunnerStandin({ host: '127.0.0.1', port: 0, id: 'r1', zone: 'a' })
 */
export async function createRunnerStandin(opts: RunnerOptions) {
  const { slots = 8, connections = 64, workMs = 5 } = opts
  const random = seededRandom(opts.seed ?? 1)
  const faults = noRunnerFaults()
  const stats: RunnerStats = {
    id: opts.id,
    zone: opts.zone,
    running: {},
    maxRunning: {},
    startsById: {},
    startsByKey: {},
    startedAt: [],
    connections: 0,
  }
  const sockets = new Set<Socket>()
  const silentSockets = new Set<Socket>()
  const inProgress = new Map<string, number>()
  const slotWaiters: (() => void)[] = []
  let usedSlots = 0
  let isShuttingDown = false
  let isRefusing = false

  async function acquireSlot(): Promise<void> {
    if (usedSlots < slots) usedSlots++
    else await new Promise<void>(resolve => slotWaiters.push(resolve))
  }

  function releaseSlot(): void {
    const next = slotWaiters.shift()
    if (next) next()
    else usedSlots--
  }

  async function work(req: IncomingMessage, ms: number): Promise<void> {
    const id = String(req.headers['bulrush-request-id'])
    const team = String(req.headers['bulrush-team'])
    const key = req.headers['idempotency-key']
    incrementCount(stats.startsById, id)
    if (typeof key === 'string') incrementCount(stats.startsByKey, key)
    stats.startedAt.push(Date.now())
    if (stats.startedAt.length > maxStartTimes) stats.startedAt.shift()
    const onEnd = opts.onStart?.({
      runner: opts.id,
      zone: opts.zone,
      team,
      requestId: id,
      path: req.url ?? '',
      idempotencyKey: typeof key === 'string' ? key : undefined,
    })
    const running = incrementCount(stats.running, team)
    stats.maxRunning[team] = Math.max(stats.maxRunning[team] ?? 0, running)
    if (faults.cutBefore) req.socket.destroy()
    const remainingMs = Number(req.headers['bulrush-deadline'] ?? Infinity)
    const fullDurationMs = ms * faults.slowFactor * (0.9 + random() * 0.2)
    await sleep(faults.overrunDeadline ? fullDurationMs : Math.min(fullDurationMs, remainingMs))
    incrementCount(stats.running, team, -1)
    onEnd?.()
  }

  async function waitWhileFrozen(): Promise<void> {
    while (faults.freeze) await sleep(10)
  }

  function sendJson(res: ServerResponse, status: number, body: unknown): void {
    res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
  }

  async function readBody(req: IncomingMessage): Promise<{ length: number; digest: string }> {
    const hash = createHash('sha256')
    let length = 0
    for await (const chunk of req as AsyncIterable<Buffer>) {
      hash.update(chunk)
      length += chunk.length
    }
    return { length, digest: hash.digest('hex') }
  }

  async function handleWork(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const id = String(req.headers['bulrush-request-id'])
    if (faults.refuse || isRefusing) {
      req.resume()
      const body = JSON.stringify({ refused: id })
      res.writeHead(503, { 'bulrush-request-id': id, 'bulrush-outcome': 'not-run' }).end(body)
      return
    }
    inProgress.set(id, (inProgress.get(id) ?? 0) + 1)
    const received = await readBody(req).catch(() => undefined)
    await acquireSlot()
    await work(req, Number(url.searchParams.get('ms') ?? workMs))
    releaseSlot()
    const remaining = (inProgress.get(id) ?? 1) - 1
    if (remaining > 0) inProgress.set(id, remaining)
    else inProgress.delete(id)
    if (faults.lateMs > 0) await sleep(faults.lateMs)
    await waitWhileFrozen()
    if (received) sendWorkResponse(req, res, url, received)
  }

  function sendWorkResponse(
    req: IncomingMessage,
    res: ServerResponse,
    url: URL,
    received: object,
  ): void {
    if (silentSockets.has(req.socket) || req.socket.destroyed) return
    const requestId = String(req.headers['bulrush-request-id'])
    const id = faults.crossed ? `other-${requestId}` : requestId
    const filler = 'x'.repeat(Number(url.searchParams.get('bytes') ?? 0))
    const body = Buffer.from(JSON.stringify({ id, runner: opts.id, ...received, filler }))
    res.writeHead(faults.failAll ? 500 : 200, {
      'bulrush-request-id': id,
      'content-type': 'application/json',
      'content-length': body.length,
    })
    if (!faults.cut) res.end(body)
    else res.write(body.subarray(0, body.length >> 1), () => req.socket.destroy())
  }

  function switchFaults(patch: Partial<RunnerFaults>): void {
    Object.assign(faults, patch)
    if (patch.silent === true) for (const socket of sockets) silentSockets.add(socket)
    if (patch.silent === false) silentSockets.clear()
  }

  const routes: Record<string, (req: IncomingMessage, res: ServerResponse) => unknown> = {
    'GET /health': (_req, res) => {
      sendJson(res, isShuttingDown ? 503 : 200, { state: isShuttingDown ? 'shutting-down' : 'ok' })
    },
    'GET /running': (_req, res) => {
      sendJson(res, 200, [...inProgress.keys()])
    },
    'GET /stats': (_req, res) => {
      sendJson(res, 200, stats)
    },
    'POST /faults': async (req, res) => {
      const chunks = (await req.toArray()) as Buffer[]
      switchFaults(JSON.parse(Buffer.concat(chunks).toString()) as Partial<RunnerFaults>)
      sendJson(res, 200, faults)
    },
  }

  async function serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (silentSockets.has(req.socket)) return
    const url = new URL(req.url ?? '/', 'http://runner')
    if (url.pathname !== '/faults') await waitWhileFrozen()
    const route = routes[`${req.method ?? ''} ${url.pathname}`]
    await (route ? route(req, res) : handleWork(req, res, url))
  }

  const server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
    serve(req, res).catch(() => req.socket.destroy())
  })
  server.maxConnections = connections
  server.on('connection', socket => {
    sockets.add(socket)
    stats.connections = sockets.size
    socket.on('close', () => {
      sockets.delete(socket)
      silentSockets.delete(socket)
      stats.connections = sockets.size
    })
  })
  await new Promise<void>(resolve => server.listen(opts.port, opts.host, resolve))
  const { port } = server.address() as AddressInfo

  return {
    address: `${opts.host}:${port}`,
    faults,
    stats,
    /** Changes fault switches; `silent` applies to the connections that are open now. */
    switchFaults,
    /** Returns the ids of the requests in progress, as `GET /running` does. */
    running: (): string[] => [...inProgress.keys()],
    /** Stops at once, as a killed process does. */
    close(): Promise<void> {
      const closed = new Promise<void>(resolve =>
        server.close(() => {
          resolve()
        }),
      )
      for (const socket of sockets) {
        // A reset fails and leaves the handle open while the end of the stream is being sent.
        if (socket.writableEnded) socket.destroy()
        else socket.resetAndDestroy()
      }
      return closed
    },
    /**
     * Shuts down gracefully: accepts new work for `graceMs`, then refuses it as `not-run` and closes
     * the connections when the work in progress has ended.
     */
    async shutdown(graceMs = 3_000): Promise<void> {
      isShuttingDown = true
      await sleep(graceMs)
      isRefusing = true
      while (inProgress.size > 0) await sleep(10)
      const closed = new Promise<void>(resolve =>
        server.close(() => {
          resolve()
        }),
      )
      server.closeIdleConnections()
      await sleep(50)
      for (const socket of sockets) socket.end()
      server.closeAllConnections()
      await closed
    },
  }
}

/** A running stand-in of a runner. */
export type RunnerStandin = Awaited<ReturnType<typeof createRunnerStandin>>

const nonNegativeInteger = z.coerce.number().int().min(0)
/** Settings of `bulrush-standin runner`. */
export const runnerSettings = {
  host: { schema: z.string(), description: 'address to listen on', default: '127.0.0.1' },
  port: {
    schema: nonNegativeInteger.max(65_535),
    description: 'port; 0 takes a free one',
    default: '0',
  },
  id: { schema: z.string(), description: 'id of the runner', default: 'runner' },
  zone: { schema: z.string(), description: 'its availability zone', default: 'a' },
  slots: {
    schema: nonNegativeInteger.min(1),
    description: 'requests served at once',
    default: '8',
  },
  'work-ms': {
    schema: nonNegativeInteger,
    description: 'work time of a request, in ms',
    default: '5',
  },
}

/** The command `bulrush-standin runner`. SIGTERM shuts it down gracefully, SIGINT at once. */
export const runnerCommand = command({
  name: 'runner',
  description: 'runner of a service',
  args: defineSettings(runnerSettings),
  handler: async ({ 'work-ms': workMs, ...args }) => {
    const runner = await createRunnerStandin({ ...args, workMs })
    process.stdout.write(`${JSON.stringify({ standin: 'runner', address: runner.address })}\n`)
    process.once('SIGTERM', () => void runner.shutdown())
    process.once('SIGINT', () => void runner.close())
  },
})
