import t, { type Test } from 'tap'
import { createObjectStandin, createTableStandin, seededRandom } from '@bulrushbridge/standins'
import { createHttpObjectStore, createHttpTableService, StoreError } from '../src/index.js'

async function setup(t: Test) {
  const standin = await createTableStandin()
  const table = createHttpTableService({ url: standin.url })
  t.teardown(async () => {
    await table.close()
    await standin.close()
  })
  return { standin, table }
}

const put = (key: string, value: unknown) => ({
  checks: [],
  writes: [{ table: 'a', key, value }],
})

const deadlineIn = (ms: number) => ({ deadline: performance.now() + ms })

void t.test(
  'a transaction whose response is lost is read back and never applied twice',
  async t => {
    const { standin, table } = await setup(t)
    standin.faults.loseAnswers = { probability: 0.4, seed: 11 }
    const random = seededRandom(12)
    for (let n = 1; n <= 60; n++) {
      const version = (await readUntil(table, 'n'))?.version ?? 0
      t.equal(version, n - 1)
      const checks = [{ table: 'a', key: 'n', version }]
      const result = await table.commit({ ...put('n', random()), checks }, deadlineIn(5_000))
      t.same(result, { committed: true })
    }
  },
)

async function readUntil(table: ReturnType<typeof createHttpTableService>, key: string) {
  for (;;) {
    try {
      return await table.read('a', key)
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
    }
  }
}

void t.test('a transaction that arrives after its read-back does not take effect', async t => {
  const { standin, table } = await setup(t)
  standin.faults.maxWritesPerSecond = 1
  await table.commit(put('first', 1))
  // The service delays the second write by a second, but not its read-back.
  const err = await t.rejects(table.commit(put('late', 1), deadlineIn(600)), {
    name: 'StoreError',
    isResultKnown: true,
  })
  t.ok(err)
  standin.faults.maxWritesPerSecond = 0
  await new Promise(resolve => setTimeout(resolve, 1_100))
  t.equal(await table.read('a', 'late'), undefined)
})

void t.test('the result is unknown after an outage that lasts until the deadline', async t => {
  const { standin, table } = await setup(t)
  standin.faults.silent = true
  await t.rejects(table.commit(put('x', 1), deadlineIn(200)), {
    name: 'StoreError',
    isResultKnown: false,
  })
  await t.rejects(table.read('a', 'x', deadlineIn(50)), { name: 'StoreError' })
  standin.faults.silent = false
  t.equal(await table.read('a', 'x'), undefined)
})

void t.test('an object is stored when the response to its put is lost', async t => {
  const standin = await createObjectStandin()
  const objects = createHttpObjectStore({ url: standin.url })
  t.teardown(async () => {
    await objects.close()
    await standin.close()
  })
  standin.faults.loseAnswers = { next: 1 }
  await objects.put('documents/0a', 'text')
  t.equal(await objects.get('documents/0a'), 'text')
  t.equal(await objects.get('documents/0b'), undefined)
})
