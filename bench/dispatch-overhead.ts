/**
 * Compares `dispatch` with a bare undici request against a minimal server in a worker thread.
 *
 * Run: `npx esbuild bench/dispatch-overhead.ts --bundle --platform=node --format=cjs | node - [seed]`
 */
import { systemClock } from '@bulrushbridge/errors'
import { createRunnerLinks } from '@bulrushbridge/upstream-link'
import { createRetryBudget, createRouter, dispatch } from '@bulrushbridge/upstream-routing'
import { seededRandom } from '@bulrushbridge/standins'
import type { Readable } from 'node:stream'
import { Worker } from 'node:worker_threads'
import { Pool } from 'undici'

const REQUESTS = 20_000
const WARM_UP = 5_000
const CONCURRENCY = 8

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

async function measure(name: string, seed: number, one: () => Promise<unknown>): Promise<void> {
  const latencies: number[] = []
  async function loop(count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      const began = performance.now()
      await one()
      latencies.push(performance.now() - began)
    }
  }
  const all = (total: number): Promise<unknown> =>
    Promise.all(Array.from({ length: CONCURRENCY }, () => loop(total / CONCURRENCY)))
  await all(WARM_UP)
  latencies.length = 0
  const began = performance.now()
  const before = performance.eventLoopUtilization()
  await all(REQUESTS)
  // Worker threads count in process.cpuUsage, so the main thread's active time stands for its CPU.
  const active = performance.eventLoopUtilization(before).active
  latencies.sort((a, b) => a - b)
  const at = (share: number): number => latencies[Math.floor(latencies.length * share)] ?? 0
  const figures = {
    activeUsPerRequest: Math.round((active / REQUESTS) * 1e4) / 10,
    medianMs: at(0.5).toFixed(3),
    p99Ms: at(0.99).toFixed(3),
    seconds: ((performance.now() - began) / 1e3).toFixed(2),
  }
  console.log(JSON.stringify({ name, seed, ...figures }))
}

async function main(): Promise<void> {
  const seed = Number(process.argv[2] ?? 1)
  const worker = new Worker(server, { eval: true })
  const port = await new Promise<number>(resolve => worker.once('message', resolve))
  const address = `127.0.0.1:${port}`
  const clock = systemClock
  const pool = new Pool(`http://${address}`, { connections: CONCURRENCY })
  const router = createRouter({
    service: {
      name: 's',
      slots: CONCURRENCY,
      connections: 64,
      runners: [{ id: 'r', host: 'h', zone: 'a', address }],
    },
    zone: 'a',
    rng: seededRandom(seed),
    clock,
    createLinks: createRunnerLinks,
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
    const { answer, settled } = dispatch({ router, req, idempotent: true, retryBudget, clock })
    await drain((await answer).body)
    await settled
  }
  for (let round = 0; round < 3; round++) {
    await measure('undici request', seed, bare)
    await measure('dispatch', seed, dispatched)
  }
  await pool.close()
  await router.close()
  await worker.terminate()
}

void main()
