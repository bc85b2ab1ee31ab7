import t from 'tap'
import {
  JobExecution,
  partNames,
  partOf,
  progressTable,
  taskBlocksTable,
} from '@bulrushbridge/scheduler'
import { createMemoryStore, waitUntil } from '@bulrushbridge/standins'
import { createLogger } from '@bulrushbridge/telemetry'
import { createPartWriter } from '../src/part-writer.js'
import { oneTask, queueName } from './fixture.js'

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
