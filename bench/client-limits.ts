import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { callerLimits, clientLimitSettings, createCallerServer } from '@bulrushbridge/caller-server'
import { createLoopback } from '@bulrushbridge/testbed'
import { startRoleProcess } from './child.js'
import type { Figure, MeasurementOptions } from './figure.js'
import { computeMedian } from './hop.js'
import { runLoad } from './load.js'
import { readProcessStats } from './process-stats.js'

/** Requests in progress at any time. */
const concurrency = 32

/** Connections that are open and idle while the memory is read. */
const idleConnections = 1_000

/** Time for the memory to settle before it is read, in milliseconds. */
const settleMs = 500

/** Sizes of request bodies, in bytes. */
const bodySizes = { small: 200, large: 20_000 } as const

type BodySize = keyof typeof bodySizes

/** Options of the role `caller-server`. */
export interface CallerServerRoleOptions {
  host: string
  isLimited: boolean
}

/** Serves callers with or without limits, and answers each request at once; resolves to its address. */
export async function serveCallers({ host, isLimited }: CallerServerRoleOptions): Promise<string> {
  const entries = Object.entries(clientLimitSettings)
  const cfg = Object.fromEntries(
    entries.map(([name, { schema, default: text }]) => [name, schema.parse(text)]),
  ) as Parameters<typeof callerLimits>[0]
  const server = await createCallerServer({
    host,
    port: 0,
    nextRequestId: () => 'id',
    routes: {
      '/**': async (req, res) => {
        await once(req.resume(), 'end')
        res.end('{}')
      },
    },
    onError: () => undefined,
    ...(isLimited ? { limits: callerLimits(cfg, Infinity) } : {}),
  })
  return server.address
}

/**
 * Measures what the limits on clients cost a client that keeps them: processor time and latency of a
 * request, and memory of an idle connection, with limits (the value) and without (the baseline). The
 * figures are medians of the rounds.
 */
export async function measureClientLimits({ quick }: MeasurementOptions): Promise<Figure[]> {
  const rounds = quick ? 1 : 5
  const figures: Figure[] = []
  for (const size of Object.keys(bodySizes) as BodySize[]) {
    const samples = { limited: [] as Sample[], unlimited: [] as Sample[] }
    for (let round = 0; round < rounds; round++) {
      samples.unlimited.push(await sampleServer(false, size, quick ? 500 : 2_000))
      samples.limited.push(await sampleServer(true, size, quick ? 500 : 2_000))
    }
    const compare = (name: string, unit: string, read: (sample: Sample) => number): Figure => ({
      name: `client-limits/${name}-${size}-body`,
      unit,
      value: computeMedian(samples.limited.map(read)),
      baseline: computeMedian(samples.unlimited.map(read)),
    })
    figures.push(
      compare('cpu-per-request', 'us', ({ cpuUs }) => cpuUs),
      compare('latency-median', 'ms', ({ medianMs }) => medianMs),
      compare('memory-per-idle-connection', 'bytes', ({ connectionBytes }) => connectionBytes),
    )
  }
  return figures
}

interface Sample {
  cpuUs: number
  medianMs: number
  connectionBytes: number
}

async function sampleServer(
  isLimited: boolean,
  size: BodySize,
  measuredMs: number,
): Promise<Sample> {
  const host = createLoopback().nextAddress()
  const child = startRoleProcess('caller-server', { host, isLimited })
  const address = (await child.readNextLine()) as string
  try {
    const body = 'x'.repeat(bodySizes[size])
    const stream = { targets: [address], path: '/x', method: 'POST' as const, body }
    let [cpuBefore, cpuAfter] = [0, 0]
    const [result] = await runLoad(
      {
        streams: [{ ...stream, concurrency, deadlineMs: 5_000 }],
        warmUpMs: measuredMs / 2,
        measuredMs,
      },
      {
        measure: () => (cpuBefore = readProcessStats(child.pid).cpuMs),
        end: () => (cpuAfter = readProcessStats(child.pid).cpuMs),
      },
    )
    if (result === undefined || result.failed + result.refused + result.late > 0)
      throw new Error('a request of the measurement failed')
    const connectionBytes = await measureIdleConnections(child.pid, address)
    const cpuUs = ((cpuAfter - cpuBefore) * 1_000) / result.ok
    return { cpuUs, medianMs: result.median, connectionBytes }
  } finally {
    await child.killAndWait()
  }
}

async function measureIdleConnections(pid: number, address: string): Promise<number> {
  const [host, port] = address.split(':')
  const before = readProcessStats(pid).residentBytes
  const sockets = await Promise.all(
    Array.from(
      { length: idleConnections },
      () =>
        new Promise<Socket>((resolve, reject) => {
          const socket = connect({ host, port: Number(port) }, () => {
            resolve(socket)
          })
          socket.on('error', reject)
        }),
    ),
  )
  await new Promise(resolve => setTimeout(resolve, settleMs))
  const after = readProcessStats(pid).residentBytes
  for (const socket of sockets) socket.destroy()
  return (after - before) / idleConnections
}
