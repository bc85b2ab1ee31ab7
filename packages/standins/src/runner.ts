import { defineSettings } from '@bulrushbridge/settings'
import { command } from 'cmd-ts'
import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { z } from 'zod'
import { seededRandom } from './faults.js'

/** Faults of a runner; each is one switch. */
export interface RunnerFaults {
  /** Connections open when it is switched on are never answered again; new ones are. */
  silent: boolean
  /** Milliseconds added before each answer. */
  lateMs: number
  /** Answers with the id and body of another request. */
  crossed: boolean
  /** Cuts the answer after half of its bytes. */
  cut: boolean
  /** Closes the connection when the work starts; the work goes on. */
  cutBefore: boolean
  /** Refuses with 503 and outcome not-run. */
  refuse: boolean
  /** Runs the work, then answers 500. */
  failAll: boolean
  /** Multiplies the work time. */
  slowFactor: number
  /** Reads and answers nothing, health included, until switched off. */
  freeze: boolean
  /** Work goes on past the request's deadline. */
  overrunDeadline: boolean
}

/** All switches of a runner off. */
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
  /** Work time of a request that names none. */
  workMs?: number
  /** Seed of the work times, which vary by a tenth. */
  seed?: number
  /** Told when work starts; the function that it returns is called when the work has ended. */
  onStart?: (start: RunnerStart) => () => void
}

/** A start of work at a runner. */
export interface RunnerStart {
  runner: string
  zone: string
  team: string
  requestId: string
  /** Path and query. */
  path: string
  idempotencyKey: string | undefined
}

/** Counts of what ran. */
export interface RunnerStats {
  id: string
  zone: string
  running: Record<string, number>
  maxRunning: Record<string, number>
  startsById: Record<string, number>
  startsByKey: Record<string, number>
  /** Wall-clock milliseconds of each start, oldest first; the newest 100,000 are kept. */
  startedAt: number[]
  connections: number
}

const maxStarts = 100_000

function count(counts: Record<string, number>, name: string, by = 1): number {
  return (counts[name] = (counts[name] ?? 0) + by)
}

/**
 * Starts a stand-in of a runner.
 *
 * @example
 * const runner = await createRunnerStandin({ host: '127.0.0.1', port: 0, id: 'r1', zone: 'a' })
 */
export async function createRunnerStandin(opts: RunnerOptions) {
  const { slots = 8, connections = 64, workMs = 5 } = opts
  const rng = seededRandom(opts.seed ?? 1)
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
  const line: (() => void)[] = []
  let busy = 0
  let shuttingDown = false
  let refusing = false

  async function takeSlot(): Promise<void> {
    if (busy < slots) busy++
    else await new Promise<void>(resolve => line.push(resolve))
  }

  function freeSlot(): void {
    const next = line.shift()
    if (next) next()
    else busy--
  }

  async function work(req: IncomingMessage, ms: number): Promise<void> {
    const id = String(req.headers['bulrush-request-id'])
    const team = String(req.headers['bulrush-team'])
    const key = req.headers['idempotency-key']
    count(stats.startsById, id)
    if (typeof key === 'string') count(stats.startsByKey, key)
    stats.startedAt.push(Date.now())
    if (stats.startedAt.length > maxStarts) stats.startedAt.shift()
    const ended = opts.onStart?.({
      runner: opts.id,
      zone: opts.zone,
      team,
      requestId: id,
      path: req.url ?? '',
      idempotencyKey: typeof key === 'string' ? key : undefined,
    })
    const running = count(stats.running, team)
    stats.maxRunning[team] = Math.max(stats.maxRunning[team] ?? 0, running)
    if (faults.cutBefore) req.socket.destroy()
    const left = Number(req.headers['bulrush-deadline'] ?? Infinity)
    const full = ms * faults.slowFactor * (0.9 + rng() * 0.2)
    await sleep(faults.overrunDeadline ? full : Math.min(full, left))
    count(stats.running, team, -1)
    ended?.()
  }

  async function thaw(): Promise<void> {
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

  async function serveWork(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const id = String(req.headers['bulrush-request-id'])
    if (faults.refuse || refusing) {
      req.resume()
      const body = JSON.stringify({ refused: id })
      res.writeHead(503, { 'bulrush-request-id': id, 'bulrush-outcome': 'not-run' }).end(body)
      return
    }
    inProgress.set(id, (inProgress.get(id) ?? 0) + 1)
    const received = await readBody(req).catch(() => undefined)
    await takeSlot()
    await work(req, Number(url.searchParams.get('ms') ?? workMs))
    freeSlot()
    const left = (inProgress.get(id) ?? 1) - 1
    if (left > 0) inProgress.set(id, left)
    else inProgress.delete(id)
    if (faults.lateMs > 0) await sleep(faults.lateMs)
    await thaw()
    if (received) answer(req, res, url, received)
  }

  function answer(req: IncomingMessage, res: ServerResponse, url: URL, received: object): void {
    if (silentSockets.has(req.socket) || req.socket.destroyed) return
    const own = String(req.headers['bulrush-request-id'])
    const id = faults.crossed ? `other-${own}` : own
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
      sendJson(res, shuttingDown ? 503 : 200, { state: shuttingDown ? 'shutting-down' : 'ok' })
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
    if (url.pathname !== '/faults') await thaw()
    const route = routes[`${req.method ?? ''} ${url.pathname}`]
    await (route ? route(req, res) : serveWork(req, res, url))
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
    /** Changes some switches; `silent` applies to the connections open now. */
    switchFaults,
    /** Ids in progress, as `GET /running` lists them. */
    running: (): string[] => [...inProgress.keys()],
    /** Ends at once, as a killed process does. */
    close(): Promise<void> {
      const closed = new Promise<void>(resolve =>
        server.close(() => {
          resolve()
        }),
      )
      for (const socket of sockets) {
        // While the end of a socket is being sent, a reset fails and leaves its handle open.
        if (socket.writableEnded) socket.destroy()
        else socket.resetAndDestroy()
      }
      return closed
    },
    /** Graceful shutdown: new work is accepted during `graceMs`, then refused as not run. */
    async shutdown(graceMs = 3_000): Promise<void> {
      shuttingDown = true
      await sleep(graceMs)
      refusing = true
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

const natural = z.coerce.number().int().min(0)
/** Settings of `bulrush-standin runner`. */
export const runnerSettings = {
  host: { schema: z.string(), description: 'address to listen on', default: '127.0.0.1' },
  port: { schema: natural.max(65_535), description: 'port; 0 takes a free one', default: '0' },
  id: { schema: z.string(), description: 'id of the runner', default: 'runner' },
  zone: { schema: z.string(), description: 'its availability zone', default: 'a' },
  slots: { schema: natural.min(1), description: 'requests served at once', default: '8' },
  'work-ms': { schema: natural, description: 'work time of a request, in ms', default: '5' },
}

/** The command `bulrush-standin runner`; SIGTERM starts its graceful shutdown, SIGINT ends it. */
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
