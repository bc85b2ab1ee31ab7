import { systemClock } from '@bulrushbridge/errors'
import { createUpstreamClient } from '@bulrushbridge/upstream-link'
import { createRetryBudget, createRouter, dispatch } from '@bulrushbridge/upstream-routing'
import { seededRandom } from '@bulrushbridge/standins'
import type { Readable } from 'node:stream'
import { Worker } from 'node:worker_threads'
import { Pool } from 'undici'
import type { Figure, MeasureOptions } from './figure.js'
import { medianOf } from './hop.js'

const warmUpRequests = 5_000
const concurrency = 8

const server = `
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

/** Reads a body as a relay does, without collecting it. */
function drain(body: Readable): Promise<void> {
  return new Promise((resolve, reject) => {
    body.on('end', resolve).on('error', reject).resume()
  })
}

interface Sample {
  activeUs: number
  p99Ms: number
}

async function sample(requests: number, one: () => Promise<unknown>): Promise<Sample> {
  const latencies: number[] = []
  async function loop(count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      const began = performance.now()
      await one()
      latencies.push(performance.now() - began)
    }
  }
  const all = (total: number): Promise<unknown> =>
    Promise.all(Array.from({ length: concurrency }, () => loop(total / concurrency)))
  await all(warmUpRequests)
  latencies.length = 0
  const before = performance.eventLoopUtilization()
  await all(requests)
  // Worker threads count in process.cpuUsage, so the main thread's active time stands for its CPU.
  const { active } = performance.eventLoopUtilization(before)
  latencies.sort((a, b) => a - b)
  const p99Ms = latencies[Math.floor(latencies.length * 0.99)] ?? 0
  return { activeUs: (active * 1_000) / requests, p99Ms }
}

/**
 * Cost of `dispatch` against a bare undici request, with a minimal server in a worker thread and
 * eight requests in progress. Medians of the rounds.
 */
export async function measureDispatch({ seed, quick }: MeasureOptions): Promise<Figure[]> {
  const worker = new Worker(server, { eval: true })
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
  let id = 0
  const bare = async (): Promise<void> =>
    drain((await pool.request({ method: 'GET', path: '/' })).body)
  const dispatched = async (): Promise<void> => {
    const req = {
      id: `m-1-${++id}`,
      method: 'GET',
      path: '/',
      headers: [],
      deadline: clock.now() + 5_000,
      team: 'a',
    }
    const { response, settled } = dispatch({ router, req, idempotent: true, retryBudget, clock })
    await drain((await response).body)
    await settled
  }
  const samples: { bare: Sample; dispatched: Sample }[] = []
  for (let round = 0; round < (quick ? 1 : 3); round++) {
    const requests = quick ? 5_000 : 20_000
    const first = await sample(requests, bare)
    samples.push({ bare: first, dispatched: await sample(requests, dispatched) })
  }
  await pool.close()
  await router.close()
  await worker.terminate()
  const figure = (key: keyof Sample, name: string, unit: string): Figure => ({
    name: `dispatch/${name}`,
    unit,
    value: medianOf(samples.map(each => each.dispatched[key])),
    baseline: medianOf(samples.map(each => each.bare[key])),
  })
  return [figure('activeUs', 'active-per-request', 'us'), figure('p99Ms', 'p99', 'ms')]
}
