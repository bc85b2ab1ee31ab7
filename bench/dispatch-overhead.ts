import { systemClock } from '@bulrushbridge/errors'
import { createUpstreamClient } from '@bulrushbridge/upstream-link'
import { createRetryBudget, createRouter, dispatch } from '@bulrushbridge/upstream-routing'
import { seededRandom } from '@bulrushbridge/standins'
import type { Readable } from 'node:stream'
import { Worker } from 'node:worker_threads'
import { Pool } from 'undici'
import type { Figure, MeasurementOptions } from './figure.js'
import { computeMedian } from './hop.js'

/** Number of requests that are sent before a sample and not measured. */
const warmUpRequests = 5_000

/** Number of requests in progress at any time. */
const concurrency = 8

/** Program of the worker thread: a runner that responds without doing any work. */
const serverSource = `
  const { createServer } = require('node:http')
  const { parentPort } = require('node:worker_threads')
  const body = 'x'.repeat(200)
  const server = createServer((req, res) => {
    if (req.url === '/health') return res.end('{"state":"ok"}')
    req.resume()
    const id = req.headers['bulrush-request-id'] ?? ''
    res.writeHead(200, { 'bulrush-request-id': id, 'content-length': 200 }).end(body)
  })
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port))
`

/** Reads a body to its end without keeping it, as a relay does. */
function discardBody(body: Readable): Promise<void> {
  return new Promise((resolve, reject) => {
    body.on('end', resolve).on('error', reject).resume()
  })
}

/** Result of one round. */
interface Sample {
  /** Active time of the main thread per request, in microseconds. */
  activeUs: number
  p99Ms: number
}

async function measureRequests(
  requests: number,
  sendRequest: () => Promise<unknown>,
): Promise<Sample> {
  const latencies: number[] = []
  async function sendInSequence(count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      const startedAt = performance.now()
      await sendRequest()
      latencies.push(performance.now() - startedAt)
    }
  }
  const sendAll = (total: number): Promise<unknown> =>
    Promise.all(Array.from({ length: concurrency }, () => sendInSequence(total / concurrency)))
  await sendAll(warmUpRequests)
  latencies.length = 0
  const before = performance.eventLoopUtilization()
  await sendAll(requests)
  // process.cpuUsage includes worker threads, so the active time of the main thread is used instead
  // of its CPU time.
  const { active } = performance.eventLoopUtilization(before)
  latencies.sort((a, b) => a - b)
  const p99Ms = latencies[Math.floor(latencies.length * 0.99)] ?? 0
  return { activeUs: (active * 1_000) / requests, p99Ms }
}

/**
 * Measures what a request through `dispatch` costs, compared with a bare undici request. A minimal
 * server runs in a worker thread, and eight requests are in progress at a time. The figures are
 * medians of the rounds.
 */
export async function measureDispatchOverhead({
  seed,
  quick,
}: MeasurementOptions): Promise<Figure[]> {
  const worker = new Worker(serverSource, { eval: true })
  const port = await new Promise<number>(resolve => worker.once('message', resolve))
  const address = `127.0.0.1:${port}`
  const clock = systemClock
  const pool = new Pool(`http://${address}`, { connections: concurrency })
  const router = createRouter({
    service: {
      name: 's',
      slots: concurrency,
      connections: 64,
      runners: [{ id: 'r', host: 'h', zone: 'a', address }],
    },
    zone: 'a',
    rng: seededRandom(seed),
    clock,
    createClient: createUpstreamClient,
  })
  const retryBudget = createRetryBudget({ clock })
  let requestCount = 0
  const sendBare = async (): Promise<void> =>
    discardBody((await pool.request({ method: 'GET', path: '/' })).body)
  const sendDispatched = async (): Promise<void> => {
    const req = {
      id: `m-1-${++requestCount}`,
      method: 'GET',
      path: '/',
      headers: [],
      deadline: clock.now() + 5_000,
      team: 'a',
    }
    const { response, settled } = dispatch({ router, req, idempotent: true, retryBudget, clock })
    await discardBody((await response).body)
    await settled
  }
  const samples: { bare: Sample; dispatched: Sample }[] = []
  for (let round = 0; round < (quick ? 1 : 3); round++) {
    const requests = quick ? 5_000 : 20_000
    const bareSample = await measureRequests(requests, sendBare)
    samples.push({ bare: bareSample, dispatched: await measureRequests(requests, sendDispatched) })
  }
  await pool.close()
  await router.close()
  await worker.terminate()
  const createFigure = (key: keyof Sample, name: string, unit: string): Figure => ({
    name: `dispatch/${name}`,
    unit,
    value: computeMedian(samples.map(sample => sample.dispatched[key])),
    baseline: computeMedian(samples.map(sample => sample.bare[key])),
  })
  return [createFigure('activeUs', 'active-per-request', 'us'), createFigure('p99Ms', 'p99', 'ms')]
}
