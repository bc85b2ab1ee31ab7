import { RequestError, systemClock } from '@bulrushbridge/errors'
import {
  createRunnerStandin,
  seededRandom,
  type RunnerFaults,
  type RunnerStandin,
} from '@bulrushbridge/standins'
import { createUpstreamClient, type UpstreamRequest } from '@bulrushbridge/upstream-link'
import fc from 'fast-check'
import { Readable } from 'node:stream'
import { text } from 'node:stream/consumers'
import { setTimeout as sleep } from 'node:timers/promises'
import t, { type Test } from 'tap'
import { createRetryBudget, createRouter, dispatch } from '../src/index.js'

let nextId = 0
const request = (path: string, more: Partial<UpstreamRequest> = {}): UpstreamRequest => ({
  id: `m1-1-${++nextId}`,
  method: 'POST',
  path,
  headers: [],
  deadline: systemClock.now() + 3_000,
  team: 'a',
  ...more,
})

async function setUp(t: Test) {
  const standins: RunnerStandin[] = []
  for (const id of ['r0', 'r1', 'r2']) {
    standins.push(await createRunnerStandin({ host: '127.0.0.1', port: 0, id, zone: 'a' }))
  }
  const runners = standins.map(({ address, stats }) => ({
    id: stats.id,
    host: `h-${stats.id}`,
    zone: 'a',
    address,
  }))
  const clock = systemClock
  const router = createRouter({
    service: { name: 's', slots: 8, connections: 64, runners },
    zone: 'a',
    rng: seededRandom(7),
    clock,
    createClient: createUpstreamClient,
  })
  const retryBudget = createRetryBudget({ clock, ratio: 10 })
  const send = (req: UpstreamRequest, idempotent = false, beforeWrite?: () => void) =>
    dispatch({ router, req, idempotent, retryBudget, clock, beforeWrite })
  t.teardown(async () => {
    router.setUnlistedHosts(runners.map(each => each.host))
    await router.close()
    await Promise.all(standins.map(each => each.close()))
  })
  const startCount = (id: string): number =>
    standins.reduce((sum, each) => sum + (each.stats.startsById[id] ?? 0), 0)
  const switchAll = (patch: Partial<RunnerFaults>): void => {
    for (const each of standins) each.switchFaults(patch)
  }
  const running = (): string[] => standins.flatMap(each => each.running())
  return { router, send, startCount, switchAll, running, standins }
}

void t.test(
  'a refused request is retried elsewhere with its whole body, for any method',
  async t => {
    const { send, standins, startCount } = await setUp(t)
    for (const each of standins.slice(0, 2)) each.switchFaults({ refuse: true })
    for (let i = 0; i < 6; i++) {
      const req = request('/work?ms=1', { body: Readable.from([Buffer.from('abc')]) })
      const response = await send(req).response
      t.match(JSON.parse(await text(response.body)), { runner: 'r2', length: 3 })
      t.equal(startCount(req.id), 1)
    }
  },
)

void t.test('permit and slot are held until the work ends when the caller has left', async t => {
  const { router, send, running } = await setUp(t)
  const caller = new AbortController()
  const req = request('/work?ms=500', { signal: caller.signal })
  const { response, settled } = send(req, true)
  while (running().length === 0) await sleep(5)
  caller.abort()
  t.match(await response.catch((err: unknown) => err), { kind: 'caller-left' })
  t.same([...router.inFlightByRunner().values()], [1])
  await settled
  t.same(running(), [])
  t.equal(router.inFlightByRunner().size, 0)
})

void t.test('a retry does not start while the first attempt may be running', async t => {
  const { send, switchAll, standins } = await setUp(t)
  switchAll({ cutBefore: true })
  const req = request('/work?ms=30', { method: 'GET' })
  const { response, settled } = send(req, true)
  await response.catch(() => undefined)
  await settled
  const maxima = standins.map(each => each.stats.maxRunning.a ?? 0)
  t.same(maxima, [1, 1, 1], 'tried on each runner')
  const times = standins.flatMap(each => each.stats.startedAt).sort((a, b) => a - b)
  for (let i = 1; i < times.length; i++) t.ok((times[i] ?? 0) - (times[i - 1] ?? 0) >= 25)
})

void t.test('a graceful shutdown of a runner cuts no request and gets no new ones', async t => {
  const { send, standins } = await setUp(t)
  const requests = Array.from({ length: 12 }, () => send(request('/work?ms=1000')))
  await sleep(100)
  const [stopping] = standins
  const startsAtShutdown = stopping?.stats.startedAt.length
  const stopped = stopping?.shutdown(2_500)
  // Health is checked every second with a timeout of a second, so the router knows after 2 s.
  await sleep(2_100)
  const startsAfterCheck = stopping?.stats.startedAt.length
  t.equal(startsAfterCheck, startsAtShutdown)
  for (let i = 0; i < 20; i++) await text((await send(request('/work?ms=1')).response).body)
  t.equal(stopping?.stats.startedAt.length, startsAfterCheck)
  for (const { response } of requests) await text((await response).body)
  await stopped
})

void t.test('random faults: at most one run, correct outcomes, complete responses', async t => {
  const { send, startCount, switchAll, running, standins } = await setUp(t)
  const noFaults = { ...standins[0]?.faults }
  const fault = fc.constantFrom<Partial<RunnerFaults>>(
    {},
    { cut: true },
    { cutBefore: true },
    { crossed: true },
    { refuse: true },
    { failAll: true },
  )
  const steps = fc.array(fc.tuple(fault, fault, fault, fc.boolean()), { maxLength: 5 })
  await fc.assert(
    fc.asyncProperty(steps, async sequence => {
      for (const [a, b, c, idempotent] of sequence) {
        switchAll(noFaults)
        for (const [i, patch] of [a, b, c].entries()) standins[i]?.switchFaults(patch)
        const req = request('/work?ms=2&bytes=500')
        const { response, settled } = send(req, idempotent)
        const result = await response
          .then(
            async complete =>
              JSON.parse(await text(complete.body)) as { id: string; filler: string },
          )
          .catch((err: unknown) => err as RequestError)
        await settled
        if (running().includes(req.id)) return false
        if (!idempotent && startCount(req.id) > 1) return false
        if (result instanceof RequestError) {
          if (!idempotent && result.outcome === 'not-run' && startCount(req.id) > 0) return false
        } else if (result.id !== req.id || result.filler.length !== 500) return false
      }
      return true
    }),
    { seed: 4_711, numRuns: 15 },
  )
})

// After the withdrawal of a key, five of its requests once failed with the outcome `not-run`,
// although an earlier attempt of each had started.
void t.test('a rejected second attempt does not hide that the first may have run', async t => {
  const { send, startCount, switchAll } = await setUp(t)
  switchAll({ cutBefore: true })
  const req = request('/work?ms=50', { method: 'GET' })
  let attempts = 0
  const { response, settled } = send(req, true, () => {
    attempts += 1
    if (attempts > 1) throw new RequestError('key-invalid')
  })
  const err = await response.then(
    () => undefined,
    (thrown: unknown) => thrown as RequestError,
  )
  await settled
  t.equal(attempts, 2)
  t.equal(startCount(req.id), 1)
  t.match(err, { kind: 'key-invalid', outcome: 'unknown' })
})
