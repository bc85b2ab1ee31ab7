import t, { type Test } from 'tap'
import { createManualClock, createTableStandin, seededRandom } from '@bulrushbridge/standins'
import { createGroupCommitter, createHttpTableService } from '../src/index.js'

async function setup(t: Test, maxRows = 100) {
  const standin = await createTableStandin()
  const clock = createManualClock()
  const table = createHttpTableService({ url: standin.url, clock })
  const committer = createGroupCommitter({ table, windowMs: 5, maxRows, clock })
  t.teardown(async () => {
    await committer.close()
    await table.close()
    await standin.close()
  })
  const create = (key: string) =>
    committer.commit({
      checks: [{ table: 'a', key, version: 0 }],
      writes: [{ table: 'a', key, value: 1 }],
    })
  return { standin, clock, table, committer, create }
}

void t.test('a failed check does not fail the other transactions of a group', async t => {
  const { standin, clock, table, create } = await setup(t)
  await table.commit({ checks: [], writes: [{ table: 'a', key: 'k3', value: 0 }] })
  const all = Promise.all([1, 2, 3, 4, 5].map(n => create(`k${n}`)))
  clock.advance(5)
  t.same(
    (await all).map(result => result.committed),
    [true, true, false, true, true],
  )
  t.equal(standin.counters().writes, 3, 'the write before, the group and its retry')
})

void t.test('of concurrent creations of the same row in one window one succeeds', async t => {
  const { clock, create } = await setup(t)
  const random = seededRandom(3)
  const keys = Array.from({ length: 60 }, () => `k${Math.floor(random() * 10)}`)
  const all = Promise.all(keys.map(async key => ({ key, ...(await create(key)) })))
  clock.advance(5)
  const winners = (await all).filter(result => result.committed).map(result => result.key)
  t.same(winners.sort(), [...new Set(keys)].sort())
})

void t.test('an unknown result is reported for every transaction of the group', async t => {
  const { standin, clock, committer } = await setup(t)
  standin.faults.down = true
  const commit = (key: string) =>
    committer.commit(
      { checks: [], writes: [{ table: 'a', key, value: 1 }] },
      { deadline: clock.now() + 200 },
    )
  const all = Promise.allSettled(['x', 'y'].map(commit))
  clock.advance(5)
  await new Promise(resolve => setTimeout(resolve, 50))
  clock.advance(200)
  for (const result of await all) {
    t.match(result, { status: 'rejected', reason: { name: 'StoreError', isResultKnown: false } })
  }
})

void t.test('a transaction with an early deadline is rejected alone', async t => {
  const { standin, clock, committer, create } = await setup(t)
  standin.faults.slowMs = 100
  const tx = { checks: [], writes: [{ table: 'a', key: 'short', value: 1 }] }
  const short = committer.commit(tx, { deadline: clock.now() + 6 })
  const long = create('long')
  clock.advance(5)
  await new Promise(resolve => setImmediate(resolve))
  clock.advance(1)
  await t.rejects(short, { name: 'StoreError', isResultKnown: false })
  t.same(await long, { committed: true })
})

void t.test('a full group is committed before its window ends', async t => {
  const { create } = await setup(t, 2)
  t.same(await Promise.all([create('a'), create('b')]), [{ committed: true }, { committed: true }])
})
