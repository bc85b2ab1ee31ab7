import t, { type Test } from 'tap'
import {
  createManualClock,
  createTableStandin,
  seededRandom,
  waitUntil,
} from '@bulrushbridge/standins'
import { createGroupCommitter, createHttpTableService, type Committer } from '@bulrushbridge/store'
import {
  createIdempotencyRecords,
  maxStoredBodyBytes,
  retentionMs,
  sweepRecords,
} from '../src/index.js'

const answer = { status: 201, headers: { 'x-a': ['1', '2'] }, body: Buffer.from('made') }
const request = { team: 'a', key: 'k/1', fingerprint: 'f', requestId: 'e1-1' }

async function setup(t: Test) {
  const standin = await createTableStandin()
  const table = createHttpTableService({ url: standin.url })
  const clock = createManualClock()
  const member = (name: string, committer: Committer = table) =>
    createIdempotencyRecords({
      table,
      committer,
      member: name,
      clock: { ...clock, now: () => performance.now() },
    })
  t.teardown(async () => {
    await table.close()
    await standin.close()
  })
  return { standin, table, clock, member }
}

void t.test('concurrent repeats through several entry hosts run once', async t => {
  const { standin, table, member } = await setup(t)
  const memberRecords = [1, 2, 3].map(n =>
    member(`e${n}`, createGroupCommitter({ table, windowMs: 5, maxRows: 50 })),
  )
  const random = seededRandom(21)
  standin.faults.loseAnswers = { probability: 0.1, seed: 22 }
  const runs = new Map<string, number>()
  await Promise.all(
    Array.from({ length: 90 }, async (_, n) => {
      const key = `k${Math.floor(random() * 12)}`
      const records = memberRecords[n % 3]
      const begun = await records
        ?.begin({ ...request, key, requestId: `r${n}` })
        .catch(() => undefined)
      if (begun?.state === 'new') runs.set(key, (runs.get(key) ?? 0) + 1)
    }),
  )
  t.ok(runs.size > 0)
  t.ok([...runs.values()].every(count => count === 1))
})

void t.test('the record exists before begin returns, and a repeat replays the answer', async t => {
  const { table, member } = await setup(t)
  const first = member('e1')
  const begun = await first.begin(request)
  t.match(await table.read('once', 'a/k%2F1'), { value: { state: 'running' } })
  t.same(await member('e2').begin({ ...request, requestId: 'e2-1' }), { state: 'unknown' })
  if (begun.state === 'new') begun.finish(answer)
  await first.close()
  const repeat = await member('e2').begin({ ...request, requestId: 'e2-2' })
  t.match(repeat, { state: 'finished', answer: { status: 201, headers: answer.headers } })
  t.equal(repeat.state === 'finished' && Buffer.from(repeat.answer.body).toString(), 'made')
  await t.rejects(first.begin({ ...request, fingerprint: 'g' }), {
    name: 'RequestError',
    kind: 'idempotency-key-reused',
  })
})

void t.test('an answer that is too large to store is reported as finished', async t => {
  const { member } = await setup(t)
  const records = member('e1')
  const begun = await records.begin(request)
  if (begun.state === 'new') begun.finish({ ...answer, body: Buffer.alloc(maxStoredBodyBytes + 1) })
  await records.close()
  await t.rejects(records.begin(request), {
    name: 'RequestError',
    kind: 'already-finished',
    outcome: 'finished',
  })
})

void t.test('a release lets a repeat run, and a second release deletes nothing', async t => {
  const { member } = await setup(t)
  const begun = await member('e1').begin(request)
  t.equal(begun.state, 'new')
  if (begun.state === 'new') {
    await begun.release()
    t.equal((await member('e2').begin({ ...request, requestId: 'e2-1' })).state, 'new')
    await begun.release()
  }
  t.equal((await member('e3').begin({ ...request, requestId: 'e3-1' })).state, 'unknown')
})

void t.test('begin fails as not run in an outage, and only its request may retry it', async t => {
  const { standin, table, member } = await setup(t)
  let isAnswerLost = true
  // The transaction takes effect, but its result does not arrive and cannot be read back.
  const committer: Committer = {
    commit: async (tx, opts) => {
      if (isAnswerLost) {
        await table.commit(tx, opts)
        standin.faults.down = true
      }
      return table.commit(tx, { deadline: performance.now() + 150 })
    },
  }
  const records = member('e1', committer)
  await t.rejects(records.begin(request), {
    name: 'RequestError',
    kind: 'store-unavailable',
    outcome: 'not-run',
  })
  standin.faults.down = false
  isAnswerLost = false
  t.same(await member('e2').begin({ ...request, requestId: 'e2-1' }), { state: 'unknown' })
  t.equal((await records.begin(request)).state, 'new')
  t.same(await records.begin(request), { state: 'unknown' }, 'it may have been dispatched by now')
})

void t.test('a record that exists but cannot be read is not reported as not run', async t => {
  const { standin, table, member } = await setup(t)
  await member('e1').begin(request)
  const committer: Committer = {
    commit: async tx => {
      const result = await table.commit(tx)
      standin.faults.down = true
      return result
    },
  }
  const repeat = member('e2', committer).begin({ ...request, requestId: 'e2-1' })
  await t.rejects(repeat, { name: 'RequestError', kind: 'store-unavailable', outcome: 'unknown' })
})

void t.test('an answer is stored although the storage is down when it arrives', async t => {
  const { standin, table, clock, member } = await setup(t)
  const committer: Committer = {
    commit: tx => table.commit(tx, { deadline: performance.now() + 100 }),
  }
  const records = member('e1', committer)
  const begun = await records.begin(request)
  standin.faults.down = true
  if (begun.state === 'new') begun.finish(answer)
  await new Promise(resolve => setTimeout(resolve, 150))
  standin.faults.down = false
  await waitUntil(async () => {
    clock.advance(1_000)
    return (await member('e2').begin({ ...request, requestId: 'x' })).state === 'finished'
  })
  t.pass()
})

void t.test('a sweep removes only expired records, and nothing after the duty is lost', async t => {
  const { table, member } = await setup(t)
  const begin = (n: number) => member('e1').begin({ ...request, key: `k${n}`, requestId: `r${n}` })
  for (let n = 0; n < 5; n++) await begin(n)
  const check = { table: 'duty-fences', key: 'sweep', version: 0 }
  const later = { table, limit: 3, wallClock: () => Date.now() + retentionMs + 1_000 }
  t.same(await sweepRecords({ table, check, limit: 10 }), { removed: 0 })
  t.same(await sweepRecords({ ...later, check: { ...check, version: 7 } }), {
    removed: 0,
    next: 'a/k2',
  })
  t.same(await sweepRecords({ ...later, check }), { removed: 3, next: 'a/k2' })
  t.same(await sweepRecords({ ...later, check, after: 'a/k2' }), { removed: 2 })
})
