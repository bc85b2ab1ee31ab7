import { RequestError, systemClock } from '@bulrushbridge/errors'
import { createRunnerStandin, type RunnerFaults } from '@bulrushbridge/standins'
import fc from 'fast-check'
import { createHash } from 'node:crypto'
import { Readable } from 'node:stream'
import { text } from 'node:stream/consumers'
import { setTimeout as sleep } from 'node:timers/promises'
import t, { type Test } from 'tap'
import {
  createUpstreamClient,
  type UpstreamClientOptions,
  type UpstreamRequest,
} from '../src/index.js'

let nextId = 0
const request = (path = '/work?ms=1', more: Partial<UpstreamRequest> = {}): UpstreamRequest => ({
  id: `m1-1-${++nextId}`,
  method: 'GET',
  path,
  headers: [],
  deadline: systemClock.now() + 5_000,
  team: 'a',
  ...more,
})

async function setUp(t: Test, more: Partial<UpstreamClientOptions> = {}) {
  const runner = await createRunnerStandin({ host: '127.0.0.1', port: 0, id: 'r1', zone: 'a' })
  const client = createUpstreamClient({
    runner: { id: 'r1', address: runner.address },
    connections: 16,
    clock: systemClock,
    ...more,
  })
  t.teardown(async () => {
    runner.switchFaults({ freeze: false })
    client.markHostUnlisted()
    await client.close()
    await runner.close()
  })
  return { runner, client }
}

const getError = (sent: Promise<unknown>): Promise<RequestError> =>
  sent.then(
    () => Promise.reject(new Error('expected a failure')),
    (err: unknown) => err as RequestError,
  )

void t.test('a request rejected by beforeWrite sends no byte and keeps the connection', async t => {
  // On a stopped clock no health check is due, which would take the idle connection meanwhile.
  const now = systemClock.now()
  const { runner, client } = await setUp(t, { clock: { now: () => now } })
  const first = await client.send(request())
  await text(first.body)
  const rejected = request()
  const beforeWrite = (): void => {
    throw new RequestError('view-expired', { outcome: 'unknown' })
  }
  const err = await getError(client.send(rejected, { beforeWrite }))
  t.match(err, { kind: 'view-expired', outcome: 'not-run' })
  const next = await client.send(request())
  await text(next.body)
  t.equal(runner.stats.startsById[rejected.id], undefined)
  t.equal(client.connectionCount(), 1, 'the connection was kept')
})

void t.test('a response to another request is not passed on', async t => {
  const { runner, client } = await setUp(t)
  runner.switchFaults({ crossed: true })
  t.match(await getError(client.send(request())), { kind: 'answer-mismatched', outcome: 'unknown' })
  t.equal(client.connectionCount(), 0, 'the connection was closed')
})

void t.test('a cut response ends with an error', async t => {
  const { runner, client } = await setUp(t)
  runner.switchFaults({ cut: true })
  const response = await client.send(request('/work?ms=1&bytes=300000'))
  t.match(await getError(text(response.body)), { kind: 'answer-cut', outcome: 'unknown' })
  t.match(await getError(response.ended), { kind: 'answer-cut' })
})

void t.test('a connection closed before the response gives an unknown outcome', async t => {
  const { runner, client } = await setUp(t)
  runner.switchFaults({ cutBefore: true })
  const req = request()
  t.match(await getError(client.send(req)), { kind: 'upstream-failed', outcome: 'unknown' })
  t.equal(runner.stats.startsById[req.id], 1)
})

void t.test(
  'the outcome is not-run when the runner refuses the request or does not listen',
  async t => {
    const { runner, client } = await setUp(t)
    runner.switchFaults({ refuse: true })
    t.match(await getError(client.send(request())), { kind: 'no-upstream', outcome: 'not-run' })
    await runner.close()
    // Wait until the reset of the idle connection is seen; a request written to it before would
    // have an unknown outcome.
    while (client.connectionCount() > 0) await sleep(5)
    t.match(await getError(client.send(request())), { kind: 'upstream-failed', outcome: 'not-run' })
  },
)

void t.test('a late response is dropped, and settled waits for the work', async t => {
  const { runner, client } = await setUp(t)
  runner.switchFaults({ overrunDeadline: true })
  const req = request('/work?ms=700', { deadline: systemClock.now() + 100 })
  t.match(await getError(client.send(req)), { kind: 'deadline-passed', outcome: 'unknown' })
  t.same(runner.running(), [req.id], 'still running after the caller has its error')
  await client.settled(req.id)
  t.same(runner.running(), [])
})

void t.test(
  'settled stays pending while the runner is unreachable, until its host is unlisted',
  async t => {
    const { runner, client } = await setUp(t)
    const req = request('/work?ms=60000')
    const sent = getError(client.send(req))
    while (runner.running().length === 0) await sleep(5)
    await runner.close()
    t.match(await sent, { kind: 'upstream-failed', outcome: 'unknown' })
    let isSettled = false
    const settled = client.settled(req.id).then(() => (isSettled = true))
    await sleep(400)
    t.notOk(isSettled, 'a refused connection does not prove that the work has ended')
    client.markHostUnlisted()
    await settled
  },
)

void t.test('the work goes on after its caller has left', async t => {
  const { runner, client } = await setUp(t)
  const caller = new AbortController()
  const req = request('/work?ms=400', { signal: caller.signal })
  const sent = getError(client.send(req))
  while (runner.running().length === 0) await sleep(5)
  caller.abort()
  t.match(await sent, { kind: 'caller-left', outcome: 'unknown' })
  t.same(runner.running(), [req.id])
  await client.settled(req.id)
  t.same(runner.running(), [])
})

void t.test('connections that stop responding are closed together, and new ones work', async t => {
  const retired: number[] = []
  const { runner, client } = await setUp(t, {
    onConnectionsRetired: ({ failed }) => retired.push(failed),
  })
  const responses = await Promise.all([1, 2, 3, 4].map(() => client.send(request('/work?ms=20'))))
  await Promise.all(responses.map(response => text(response.body)))
  runner.switchFaults({ silent: true })
  const startedAt = systemClock.now()
  const err = await getError(client.send(request('/work?ms=1', { deadline: startedAt + 30_000 })))
  t.match(err, { kind: 'upstream-failed', outcome: 'unknown' })
  t.ok(
    systemClock.now() - startedAt < 9_000,
    'found by the health check, before the timeout of the headers',
  )
  t.same(retired, [1])
  await text((await client.send(request())).body)
})

void t.test('connections to a slow runner are not closed', async t => {
  let retirements = 0
  const { runner, client } = await setUp(t, { onConnectionsRetired: () => retirements++ })
  const longRequest = client.send(request('/work?ms=1500'))
  runner.switchFaults({ overrunDeadline: true })
  const shortRequest = request('/work?ms=900', { deadline: systemClock.now() + 50 })
  await getError(client.send(shortRequest))
  await text((await longRequest).body)
  t.equal(retirements, 0)
})

void t.test('a large body arrives complete with bounded memory in both directions', async t => {
  const { client } = await setUp(t)
  const chunk = Buffer.alloc(64 * 1024, 7)
  const source = Readable.from(Array.from({ length: 64 }, () => chunk))
  const req = request('/work?ms=1&bytes=4000000', { method: 'POST', body: source })
  const response = await client.send(req)
  await sleep(100)
  t.ok(
    response.body.readableLength <= 256 * 1024,
    'a response that nobody reads is not buffered without limit',
  )
  const body = JSON.parse(await text(response.body)) as Record<string, unknown>
  const hash = createHash('sha256')
  for (let i = 0; i < 64; i++) hash.update(chunk)
  t.match(body, { length: 64 * chunk.length, digest: hash.digest('hex') })
  await response.ended
})

void t.test('outcomes are correct under random faults', async t => {
  const { runner, client } = await setUp(t)
  const noFaults = { ...runner.faults }
  const faults: Partial<RunnerFaults>[] = [
    {},
    { crossed: true },
    { cut: true },
    { cutBefore: true },
    { refuse: true },
    { failAll: true },
    { lateMs: 60 },
  ]
  const step = fc.record({
    fault: fc.constantFrom(...faults),
    bytes: fc.integer({ min: 0, max: 100_000 }),
    limitMs: fc.constantFrom(0, 5, 40, 1_000),
  })
  const steps = fc.array(step, { minLength: 1, maxLength: 8 })
  await fc.assert(
    fc.asyncProperty(steps, async sequence => {
      for (const { fault, bytes, limitMs } of sequence) {
        runner.switchFaults({ ...noFaults, ...fault })
        const deadline = systemClock.now() + limitMs
        const req = request(`/work?ms=2&bytes=${bytes}`, { method: 'POST', deadline })
        const result = await client
          .send(req)
          .then(async response => JSON.parse(await text(response.body)) as Record<string, unknown>)
          .catch((err: unknown) => err as RequestError)
        await sleep(result instanceof RequestError ? 10 : 0)
        const starts = runner.stats.startsById[req.id] ?? 0
        if (result instanceof RequestError) {
          if (result.outcome === 'not-run' && starts > 0) return false
        } else if (result.id !== req.id || String(result.filler).length !== bytes) return false
        if (starts > 1) return false
      }
      return true
    }),
    { seed: 20_261, numRuns: 40 },
  )
})

// After a process was stopped and continued, its health checks are outdated, and the runner may
// have begun to shut down meanwhile. This once caused 21 starts 4.2 s after the shutdown of a
// runner.
void t.test(
  'after a pause of the process nothing is sent before the next health check',
  async t => {
    let pausedMs = 0
    const clock = { now: () => systemClock.now() + pausedMs }
    const { runner, client } = await setUp(t, { clock })
    await text((await client.send(request())).body)
    pausedMs = 4_000
    const deadline = clock.now() + 5_000
    const beforeCheck = request('/work?ms=1', { deadline })
    t.match(await getError(client.send(beforeCheck)), { kind: 'no-upstream', outcome: 'not-run' })
    t.equal(runner.stats.startsById[beforeCheck.id], undefined)
    const sendLater = async (): Promise<void> => {
      await sleep(50)
      await client
        .send(request('/work?ms=1', { deadline }))
        .then(response => text(response.body), sendLater)
    }
    await sendLater()
    t.ok(clock.now() < deadline, 'a check makes the runner usable again')
  },
)

void t.test('guards against a request that goes on after it was aborted', async t => {
  const { runner, client } = await setUp(t)
  const req = request('/work?ms=300')
  let abort = (): void => undefined
  const sent = client.send(req, { onStart: abortRequest => (abort = abortRequest) })
  while (!runner.running().includes(req.id)) await sleep(5)
  abort()
  t.match(await getError(sent), { kind: 'caller-left', outcome: 'unknown' })
  await client.settled(req.id)
  t.notOk(runner.running().includes(req.id))
})

void t.test('guards against checks that open more connections than the limit', async t => {
  let checks = 0
  const onHealthCheck = (): void => {
    checks++
  }
  const { runner, client } = await setUp(t, { connections: 4, onHealthCheck })
  const running = [1, 2].map(() => client.send(request('/work?ms=100')))
  while (runner.running().length < 2) await sleep(5)
  // While the runner does not respond, a health check and a reading of `/running` wait at the same
  // time.
  runner.switchFaults({ freeze: true })
  const settled = ['m1-1-x', 'm1-1-y'].map(id => client.settled(id))
  let maxConnections = 0
  while (checks < 2) {
    maxConnections = Math.max(maxConnections, client.connectionCount())
    await sleep(5)
  }
  t.equal(maxConnections, 4)
  t.match(await getError(client.send(request())), { kind: 'no-upstream' })
  runner.switchFaults({ freeze: false })
  await Promise.all(settled)
  for (const sent of running) await text((await sent).body)
})
