import { createRunTimeModel, learnedTable } from '@bulrushbridge/run-times'
import { createMemoryStore, waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { createRunTimeStore, type RunTimeStoreOptions } from '../src/run-time-store.js'
import { createFleet, oneTask, queueName } from './fixture.js'
import { createRecordingLog } from './log-fixture.js'

const kind = { queue: queueName, image: 'finder/index:4', cpuMillis: 1_000, declaredMs: 100 }
const lease = { table: 'duty-fences', key: 'dispatch' }
const rowKey = 'run-times/0'
const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

/** A model with its store; the lease row has version 1. */
async function createTerm(
  store: RunTimeStoreOptions['store'],
  changes: Partial<RunTimeStoreOptions> = {},
) {
  const { log, lines } = createRecordingLog()
  const runTimes = createRunTimeModel()
  const leaseCheck = { ...lease, version: 1 }
  const isActive = () => true
  const opts = { store, leaseCheck, runTimes, isActive, log, intervalMs: 5, ...changes }
  const runTimeStore = createRunTimeStore(opts)
  await runTimeStore.load()
  const observe = (ms: number, count = 1) => {
    for (let run = 0; run < count; run++) runTimes.observe({ ...kind, ms })
  }
  return { runTimes, runTimeStore, lines, observe }
}

async function createStore() {
  const store = createMemoryStore()
  await store.commit({ checks: [], writes: [{ ...lease, value: {} }] })
  return store
}

// Guards against a new dispatcher that starts with declared estimates again.
void t.test('the next term continues with what was learned', async t => {
  const store = await createStore()
  const first = await createTerm(store)
  first.observe(700, 50)
  await waitUntil(async () => (await store.read(learnedTable, rowKey)) !== undefined)
  await first.runTimeStore.close()
  const second = await createTerm(store)
  t.teardown(() => second.runTimeStore.close())
  const [before, after] = [first, second].map(({ runTimes }) => runTimes.estimate(kind).meanMs)
  t.ok(Math.abs((after ?? 0) / (before ?? 1) - 1) < 0.001)
  t.match(second.lines, [{ message: 'learned run times read', fields: { rows: 1, keys: 3 } }])
})

// Guards against writes that nothing calls for: each one takes time of the store's part.
void t.test('it is stored only when something was learned', async t => {
  const store = await createStore()
  const { runTimeStore, observe } = await createTerm(store)
  t.teardown(() => runTimeStore.close())
  await pause(50)
  const before = store.commitCalls
  t.equal(before, 1, 'only the row of the lease')
  observe(700)
  await waitUntil(() => store.commitCalls === before + 1)
  await pause(50)
  t.equal(store.commitCalls, before + 1)
})

// Guards against an earlier dispatcher that overwrites what its successor has learned.
void t.test('nothing is stored once the lease has passed to another term', async t => {
  const store = await createStore()
  const { runTimeStore, observe, lines } = await createTerm(store)
  t.teardown(() => runTimeStore.close())
  await store.commit({ checks: [], writes: [{ ...lease, value: {} }] })
  observe(700)
  await waitUntil(() => lines.some(({ message }) => message === 'learned run times not stored'))
  t.equal(await store.read(learnedTable, rowKey), undefined)
})

// Guards against a takeover that fails because of a damaged row, and against rows of another version that
// are read as if they were of this one.
void t.test(
  'rows that are malformed or of another version are ignored with a log line',
  async t => {
    const store = await createStore()
    const first = await createTerm(store)
    first.observe(700, 50)
    await waitUntil(async () => (await store.read(learnedTable, rowKey)) !== undefined)
    await first.runTimeStore.close()
    const values = { 'run-times/1': { version: 1, keys: [[1]] }, 'run-times/2': { version: 7 } }
    const writes = Object.entries(values).map(([key, value]) => ({
      table: learnedTable,
      key,
      value,
    }))
    await store.commit({ checks: [], writes })
    const second = await createTerm(store)
    t.teardown(() => second.runTimeStore.close())
    const ignored = second.lines.filter(({ message }) => message.endsWith('ignored'))
    t.match(
      ignored.map(({ fields }) => fields),
      [
        { key: 'run-times/1', reason: 'malformed' },
        { key: 'run-times/2', reason: 'version 7' },
      ],
    )
    t.equal(second.runTimes.estimate(kind).runs, 50)
    second.observe(700)
    await waitUntil(async () => (await store.read(learnedTable, 'run-times/1')) === undefined)
    t.equal(await store.read(learnedTable, 'run-times/2'), undefined, 'unused rows are deleted')
  },
)

// Guards against a takeover that waits for this table, and against overwriting rows that were not read.
void t.test('rows that can not be read at the takeover are read later', async t => {
  const store = await createStore()
  const first = await createTerm(store)
  first.observe(700, 50)
  await waitUntil(async () => (await store.read(learnedTable, rowKey)) !== undefined)
  await first.runTimeStore.close()
  const scan = store.scan.bind(store)
  store.scan = () => Promise.reject(new Error('the store does not answer'))
  const second = await createTerm(store)
  t.teardown(() => second.runTimeStore.close())
  t.equal(second.runTimes.estimate(kind).meanMs.toFixed(0), '100')
  t.match(second.lines, [{ message: 'reading learned run times failed' }])
  const before = await store.read(learnedTable, rowKey)
  second.runTimes.observe({ ...kind, image: 'finder/other:1', ms: 700 })
  await pause(50)
  t.same(await store.read(learnedTable, rowKey), before, 'not overwritten')
  store.scan = scan
  await waitUntil(() => second.runTimes.estimate(kind).runs === 50)
})

// Guards against a dispatcher that does not use all of this: the steps of its jobs, their runs, the end of
// its term, and the next one.
void t.test('a dispatcher learns from its runs, and the next one reads it', async t => {
  const { log, lines } = createRecordingLog()
  const fleet = createFleet({ log })
  const runner = await fleet.addRunner('r1')
  const first = fleet.start('host-1')
  const id = '00000000000000e1'
  await fleet.submit(id, [{ ...oneTask, image: kind.image, count: 4 }])
  await waitUntil(() => runner.running.size === 4)
  for (const task of [...runner.running.keys()]) runner.end(task, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  await waitUntil(async () => (await fleet.store.read(learnedTable, rowKey)) !== undefined)
  await first.close()
  const second = fleet.start('host-2')
  t.teardown(() => second.close())
  const isRead = ({ message }: { message: string }) => message === 'learned run times read'
  await waitUntil(() => lines.filter(isRead).length === 2)
  const keys = lines.filter(isRead).map(({ fields }) => fields.keys)
  t.same(keys, [0, 3])
  const metrics = fleet.metrics.render()
  t.match(metrics, /bulrush_run_actual_by_predicted_count\{queue="finder"\} 4/)
  t.match(metrics, /bulrush_run_actual_by_declared_count\{queue="finder"\} 4/)
})
