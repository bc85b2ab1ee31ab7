import { RequestError, systemClock } from '@bulrushbridge/errors'
import { createRunnerStandin, type RunnerFaults } from '@bulrushbridge/standins'
import fc from 'fast-check'
import { createHash } from 'node:crypto'
import { Readable } from 'node:stream'
import { text } from 'node:stream/consumers'
import { setTimeout as sleep } from 'node:timers/promises'
import t, { type Test } from 'tap'
import { createRunnerLinks, type RunnerLinksOptions, type UpstreamRequest } from '../src/index.js'

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

async function setUp(t: Test, more: Partial<RunnerLinksOptions> = {}) {
  const runner = await createRunnerStandin({ host: '127.0.0.1', port: 0, id: 'r1', zone: 'a' })
  const links = createRunnerLinks({
    runner: { id: 'r1', address: runner.address },
    connections: 16,
    clock: systemClock,
    ...more,
  })
  t.teardown(async () => {
    runner.switchFaults({ freeze: false })
    links.confirmGone()
    await links.close()
    await runner.close()
  })
  return { runner, links }
}

const failure = (sent: Promise<unknown>): Promise<RequestError> =>
  sent.then(
    () => Promise.reject(new Error('expected a failure')),
    (err: unknown) => err as RequestError,
  )

void t.test(
  'a request refused by beforeWrite leaves no byte and the connection usable',
  async t => {
    // No health check comes due on a stopped clock; one would take the idle connection meanwhile.
    const now = systemClock.now()
    const { runner, links } = await setUp(t, { clock: { now: () => now } })
    const first = await links.send(request())
    await text(first.body)
    const refused = request()
    const beforeWrite = (): void => {
      throw new RequestError('view-expired', { outcome: 'unknown' })
    }
    const err = await failure(links.send(refused, { beforeWrite }))
    t.match(err, { kind: 'view-expired', outcome: 'not-run' })
    const next = await links.send(request())
    await text(next.body)
    t.equal(runner.stats.startsById[refused.id], undefined)
    t.equal(links.size(), 1, 'the connection was kept')
  },
)

void t.test('a crossed answer is not passed on', async t => {
  const { runner, links } = await setUp(t)
  runner.switchFaults({ crossed: true })
  t.match(await failure(links.send(request())), { kind: 'answer-mismatched', outcome: 'unknown' })
  t.equal(links.size(), 0, 'the connection was closed')
})

void t.test('a cut answer never ends cleanly', async t => {
  const { runner, links } = await setUp(t)
  runner.switchFaults({ cut: true })
  const answer = await links.send(request('/work?ms=1&bytes=300000'))
  t.match(await failure(text(answer.body)), { kind: 'answer-cut', outcome: 'unknown' })
  t.match(await failure(answer.ended), { kind: 'answer-cut' })
})

void t.test('a connection closed before the answer gives an unknown outcome', async t => {
  const { runner, links } = await setUp(t)
  runner.switchFaults({ cutBefore: true })
  const req = request()
  t.match(await failure(links.send(req)), { kind: 'upstream-failed', outcome: 'unknown' })
  t.equal(runner.stats.startsById[req.id], 1)
})

void t.test('outcomes not-run: refused by the runner, nothing listening', async t => {
  const { runner, links } = await setUp(t)
  runner.switchFaults({ refuse: true })
  t.match(await failure(links.send(request())), { kind: 'no-upstream', outcome: 'not-run' })
  await runner.close()
  // The idle connection was reset; a request written to it before that shows would be unknown.
  while (links.size() > 0) await sleep(5)
  t.match(await failure(links.send(request())), { kind: 'upstream-failed', outcome: 'not-run' })
})

void t.test('a late answer is not taken, and settled waits for the work', async t => {
  const { runner, links } = await setUp(t)
  runner.switchFaults({ overrunDeadline: true })
  const req = request('/work?ms=700', { deadline: systemClock.now() + 100 })
  t.match(await failure(links.send(req)), { kind: 'deadline-passed', outcome: 'unknown' })
  t.same(runner.running(), [req.id], 'still running when the caller has its answer')
  await links.settled(req.id)
  t.same(runner.running(), [])
})

void t.test(
  'settled holds while the runner cannot be asked, until it is confirmed gone',
  async t => {
    const { runner, links } = await setUp(t)
    const req = request('/work?ms=60000')
    const sent = failure(links.send(req))
    while (runner.running().length === 0) await sleep(5)
    await runner.close()
    t.match(await sent, { kind: 'upstream-failed', outcome: 'unknown' })
    let isSettled = false
    const settled = links.settled(req.id).then(() => (isSettled = true))
    await sleep(400)
    t.notOk(isSettled, 'a refused connection alone proves nothing')
    links.confirmGone()
    await settled
  },
)

void t.test('a caller who leaves does not end the work', async t => {
  const { runner, links } = await setUp(t)
  const caller = new AbortController()
  const req = request('/work?ms=400', { signal: caller.signal })
  const sent = failure(links.send(req))
  while (runner.running().length === 0) await sleep(5)
  caller.abort()
  t.match(await sent, { kind: 'caller-left', outcome: 'unknown' })
  t.same(runner.running(), [req.id])
  await links.settled(req.id)
  t.same(runner.running(), [])
})

void t.test('silent connections are retired together, new ones work', async t => {
  const retired: number[] = []
  const { runner, links } = await setUp(t, {
    onRetired: ({ failed }) => retired.push(failed),
  })
  const warm = await Promise.all([1, 2, 3, 4].map(() => links.send(request('/work?ms=20'))))
  await Promise.all(warm.map(answer => text(answer.body)))
  runner.switchFaults({ silent: true })
  const began = systemClock.now()
  const err = await failure(links.send(request('/work?ms=1', { deadline: began + 30_000 })))
  t.match(err, { kind: 'upstream-failed', outcome: 'unknown' })
  t.ok(systemClock.now() - began < 9_000, 'found by the health check, before the headers limit')
  t.same(retired, [1])
  await text((await links.send(request())).body)
})

void t.test('a slow runner is not taken for silent connections', async t => {
  let retirements = 0
  const { runner, links } = await setUp(t, { onRetired: () => retirements++ })
  const long = links.send(request('/work?ms=1500'))
  runner.switchFaults({ overrunDeadline: true })
  const short = request('/work?ms=900', { deadline: systemClock.now() + 50 })
  await failure(links.send(short))
  await text((await long).body)
  t.equal(retirements, 0)
})

void t.test('a large body passes whole with bounded memory in both directions', async t => {
  const { links } = await setUp(t)
  const chunk = Buffer.alloc(64 * 1024, 7)
  const source = Readable.from(Array.from({ length: 64 }, () => chunk))
  const req = request('/work?ms=1&bytes=4000000', { method: 'POST', body: source })
  const answer = await links.send(req)
  await sleep(100)
  t.ok(answer.body.readableLength <= 256 * 1024, 'an answer nobody reads is not collected')
  const body = JSON.parse(await text(answer.body)) as Record<string, unknown>
  const hash = createHash('sha256')
  for (let i = 0; i < 64; i++) hash.update(chunk)
  t.match(body, { length: 64 * chunk.length, digest: hash.digest('hex') })
  await answer.ended
})

void t.test('outcomes stay truthful for random faults', async t => {
  const { runner, links } = await setUp(t)
  const off = { ...runner.faults }
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
        runner.switchFaults({ ...off, ...fault })
        const deadline = systemClock.now() + limitMs
        const req = request(`/work?ms=2&bytes=${bytes}`, { method: 'POST', deadline })
        const result = await links
          .send(req)
          .then(async answer => JSON.parse(await text(answer.body)) as Record<string, unknown>)
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

// A process that was stopped and continued has old health checks, and the runner may have begun its
// shutdown meanwhile. Seen as 21 starts 4.2 s after the shutdown of a runner.
void t.test('nothing is sent after a pause before the runner was checked again', async t => {
  let pausedMs = 0
  const clock = { now: () => systemClock.now() + pausedMs }
  const { runner, links } = await setUp(t, { clock })
  await text((await links.send(request())).body)
  pausedMs = 4_000
  const deadline = clock.now() + 5_000
  const early = request('/work?ms=1', { deadline })
  t.match(await failure(links.send(early)), { kind: 'no-upstream', outcome: 'not-run' })
  t.equal(runner.stats.startsById[early.id], undefined)
  const sendLater = async (): Promise<void> => {
    await sleep(50)
    await links
      .send(request('/work?ms=1', { deadline }))
      .then(answer => text(answer.body), sendLater)
  }
  await sendLater()
  t.ok(clock.now() < deadline, 'a check makes the runner usable again')
})

void t.test('guards against a request that goes on at its link after it was given up', async t => {
  const { runner, links } = await setUp(t)
  const req = request('/work?ms=300')
  let giveUp = (): void => undefined
  const sent = links.send(req, { onStart: end => (giveUp = end) })
  while (!runner.running().includes(req.id)) await sleep(5)
  giveUp()
  t.match(await failure(sent), { kind: 'caller-left', outcome: 'unknown' })
  await links.settled(req.id)
  t.notOk(runner.running().includes(req.id))
})

void t.test('guards against probes that open more connections than the runner takes', async t => {
  let checks = 0
  const onHealth = (): void => {
    checks++
  }
  const { runner, links } = await setUp(t, { connections: 4, onHealth })
  const busy = [1, 2].map(() => links.send(request('/work?ms=100')))
  while (runner.running().length < 2) await sleep(5)
  // While the runner answers nothing, a check and a reading of its list wait at the same time.
  runner.switchFaults({ freeze: true })
  const settled = ['m1-1-x', 'm1-1-y'].map(id => links.settled(id))
  let most = 0
  while (checks < 2) {
    most = Math.max(most, links.size())
    await sleep(5)
  }
  t.equal(most, 4)
  t.match(await failure(links.send(request())), { kind: 'no-upstream' })
  runner.switchFaults({ freeze: false })
  await Promise.all(settled)
  for (const sent of busy) await text((await sent).body)
})
