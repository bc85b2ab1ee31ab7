import t, { type Test } from 'tap'
import {
  createGuaranteedWork,
  JobExecution,
  partNames,
  partOf,
  progressTable,
  queuedJobKey,
  queuedJobsTable,
  taskBlocksTable,
} from '@bulrushbridge/scheduler'
import { createMemoryStore, waitUntil, type MemoryStore } from '@bulrushbridge/standins'
import { StoreError } from '@bulrushbridge/store'
import { createLogger } from '@bulrushbridge/telemetry'
import { createPartWriter, type PartWriter } from '../src/part-writer.js'
import { readProgress, type EarlierProgress } from '../src/read-progress.js'
import { oneTask, queueName } from './fixture.js'
import { beginAll } from './split-rows-fixture.js'

const id = '00000000000000f1'
const part = partOf(id)

// Guards against a stop of all placement: a run that must not start any more is given up right after
// its record was stored, and that change waited for ever if nothing else in its part changed.
void t.test('a change made when an earlier one has just been stored is stored too', async t => {
  const store = createMemoryStore()
  const log = createLogger({ program: 'test', level: 'silent' })
  const onFenced = () => t.fail('fenced')
  const writer = createPartWriter({ store, part, fence: 1, term: 'term', log, onFenced })
  t.teardown(() => writer.close())
  await writer.claim()
  const definition = { id, queue: queueName, payload: '', steps: [oneTask], acceptedAt: 0 }
  const job = new JobExecution(definition)
  let isStoredAgain = false
  void writer.write(job).then(() => {
    job.end('cancelled', 1)
    void writer.write(job).then(() => {
      isStoredAgain = true
    })
  })
  await waitUntil(() => isStoredAgain)
  const row = await store.read<{ status: string }>(progressTable, id, { part })
  t.equal(row?.value.status, 'cancelled')
  t.equal(writer.lagMs(), 0)
})

// Guards against LOST by several jobs together: the row of each fitted, but not the transaction of all,
// which was refused for ever.
void t.test('many jobs that are large together are stored', async t => {
  const store = createMemoryStore()
  const log = createLogger({ program: 'test', level: 'silent' })
  const onFenced = () => t.fail('fenced')
  const writer = createPartWriter({ store, part, fence: 1, term: 'term', log, onFenced })
  t.teardown(() => writer.close())
  await writer.claim()
  const jobs = Array.from({ length: 24 }, (_, n) => {
    const steps = [{ ...oneTask, count: 700 }]
    const jobId = `${n}`.padStart(16, '0')
    const job = new JobExecution({ id: jobId, queue: queueName, payload: '', steps, acceptedAt: 0 })
    job.openDueOccurrences(0)
    for (const task of job.startableSteps()[0]?.tasks ?? []) job.beginRun(task, 'i-7f3a91c0', 1)
    return job
  })
  await Promise.all(jobs.map(job => writer.write(job)))
  t.equal(store.rejectedCalls, 0)
  const { rows } = await store.snapshot(progressTable, partNames)
  t.equal(rows.length, 24)
  for (const job of jobs) {
    const blocks = await store.scan(taskBlocksTable, { part: job.part })
    const stored = blocks.filter(({ key }) => key.startsWith(job.definition.id))
    const restored = new JobExecution(
      job.definition,
      { status: 'running', queue: queueName, steps: { 0: '2' } },
      stored.map(({ key, value }) => ({ key: key.slice(17), value })),
    )
    t.equal([...restored.tasksWithRun()].length, 700)
  }
})

/** Creates a writer that has claimed the part. */
async function claimedWriter(t: Test, store: MemoryStore, fence: number): Promise<PartWriter> {
  const log = createLogger({ program: 'test', level: 'silent' })
  const opts = { store, part, fence, term: `term-${fence}`, log, onFenced: () => undefined }
  const writer = createPartWriter(opts)
  t.teardown(() => writer.close())
  await writer.claim()
  return writer
}

// Guards against a count of waiting jobs that stays too high: the row that counts a job as waiting was deleted
// a transaction after the job's own row, and a dispatcher that took over in between never deleted it.
void t.test('a job that has begun does not count as waiting after any transaction', async t => {
  const store = createMemoryStore()
  const writer = await claimedWriter(t, store, 1)
  const steps = Array.from({ length: 93 }, () => ({ ...oneTask, count: 3 }))
  const job = new JobExecution({ id, queue: queueName, payload: '', steps, acceptedAt: 0 })
  job.openDueOccurrences(0)
  beginAll(job)
  job.markBegun()
  const queued = { table: queuedJobsTable, part, key: queuedJobKey(queueName, id), value: 1 }
  await store.commit({ checks: [], writes: [queued] }, { part })
  const commit = store.commit.bind(store)
  let transactions = 0
  store.commit = async (tx, opts) => {
    const result = await commit(tx, opts)
    transactions += 1
    const progress = await store.read<{ status: string }>(progressTable, id, { part })
    const isCounted = (await store.read(queuedJobsTable, queued.key, { part })) !== undefined
    t.equal(isCounted, progress?.value.status !== 'running')
    return result
  }
  await writer.write(job)
  t.equal(transactions, 2)
})

// Guards against jobs that are stored in part when a transaction fails that they share with others.
void t.test('jobs of a batch that fails in the middle are stored whole in the end', async t => {
  const store = createMemoryStore()
  const writer = await claimedWriter(t, store, 1)
  const ids = ['00000000000000f1', ...idsInPart(3)]
  const jobs = ids.map((jobId, n) => {
    const steps = Array.from({ length: n === 1 ? 270 : 2 }, () => oneTask)
    const job = new JobExecution({ id: jobId, queue: queueName, payload: '', steps, acceptedAt: 0 })
    job.openDueOccurrences(0)
    beginAll(job)
    job.markBegun()
    return job
  })
  const commit = store.commit.bind(store)
  let transactions = 0
  store.commit = async (tx, opts) => {
    transactions += 1
    const result = await commit(tx, opts)
    if (transactions === 3) throw new StoreError('no answer', { isResultKnown: false })
    return result
  }
  await Promise.all(jobs.map(job => writer.write(job)))
  t.ok(transactions > 4)
  const found: EarlierProgress = new Map()
  const log = createLogger({ program: 'test', level: 'silent' })
  await readProgress({ store, log }, found, createGuaranteedWork())
  for (const { definition, hasQueuedRow } of jobs) {
    const { progress, blocks } = found.get(definition.id) ?? {}
    const restored = new JobExecution(definition, progress, blocks)
    t.equal([...restored.tasksWithRun()].length, definition.steps.length)
    t.notOk(hasQueuedRow)
  }
})

// Guards against a takeover that reads blocks which an earlier dispatcher goes on to write: progress and blocks
// are read one after the other.
void t.test('an earlier term changes nothing once a later one has claimed the part', async t => {
  const store = createMemoryStore()
  const earlier = await claimedWriter(t, store, 1)
  const job = new JobExecution({
    id,
    queue: queueName,
    payload: '',
    steps: [oneTask],
    acceptedAt: 0,
  })
  store.fault = 'late'
  void earlier.write(job)
  await waitUntil(() => store.commitCalls > 1)
  store.fault = 'none'
  await claimedWriter(t, store, 2)
  for (const { committed } of store.applyDelayed()) t.notOk(committed)
  await new Promise(resolve => setTimeout(resolve, 300))
  t.equal(await store.read(progressTable, id, { part }), undefined)
})

/** Ids of other jobs in the part of the tests. */
function idsInPart(count: number): string[] {
  const ids: string[] = []
  for (let n = 1; ids.length < count; n++) {
    const other = n.toString(16).padStart(16, 'b')
    if (partOf(other) === part) ids.push(other)
  }
  return ids
}
