import {
  acceptedJobsTable,
  partOf,
  progressTable,
  taskBlocksTable,
  type Step,
} from '@bulrushbridge/scheduler'
import { waitUntil, type MemoryStore } from '@bulrushbridge/standins'
import t from 'tap'
import { createFleet, oneTask, queueName } from './fixture.js'

const id = '00000000000000a1'
const stepCount = 200
const tinyTask: Step = { ...oneTask, amounts: { cpuMillis: 1, memoryMb: 1, accelerators: 0 } }

/** Makes the store refuse all calls once it has performed some transactions that delete blocks. */
function refuseAfterDeletions(store: MemoryStore, count: number): { readonly performed: number } {
  const commit = store.commit.bind(store)
  const deletions = { performed: 0 }
  store.commit = async (tx, opts) => {
    const result = await commit(tx, opts)
    if (tx.writes.some(({ table, value }) => table === taskBlocksTable && value === null)) {
      deletions.performed += 1
      if (deletions.performed === count) store.fault = 'refuse'
    }
    return result
  }
  return deletions
}

// Guards against TWICE: the blocks of steps that had ended were deleted some transactions before the job's
// own row said that the steps were done, and a dispatcher that took over in between started their tasks anew.
for (const boundary of [1, 2, 3]) {
  void t.test(
    `tasks that have ended run once if the holder is lost after transaction ${boundary} of their end`,
    async t => {
      const fleet = createFleet({ dispatcherLeaseMs: 1_000 })
      const capacity = { cpuMillis: 100_000, memoryMb: 100_000, accelerators: 0 }
      const runner = await fleet.addRunner('i-7f3a91c0', { capacity })
      const first = fleet.start('host-1')
      const steps = Array.from({ length: stepCount }, () => ({ ...tinyTask, count: 2 }))
      await fleet.submit(id, [...steps, { ...tinyTask, after: steps.map((_, n) => n) }])
      await waitUntil(() => runner.running.size === 2 * stepCount)
      for (const task of [...runner.running.keys()])
        if (task.endsWith('.0')) runner.end(task, 'done')
      await waitUntil(() => runner.acknowledged === stepCount)
      refuseAfterDeletions(fleet.store, boundary)
      for (const task of [...runner.running.keys()]) runner.end(task, 'done')
      await waitUntil(() => fleet.store.fault === 'refuse')
      await first.close()
      fleet.store.fault = 'none'
      const second = fleet.start('host-2')
      t.teardown(() => second.close())
      const last = `${id}.0.${stepCount}.0`
      await waitUntil(() => runner.running.has(last))
      t.equal(runner.startedRuns.length, 2 * stepCount + 1, 'no task ran twice')
      runner.end(last, 'done')
      await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
    },
  )
}

// Guards against rows that stay for ever: the own row of a job that has ended is stored some transactions
// before its blocks, and a dispatcher that took over in between never wrote the job again.
void t.test(
  'a job that has ended is removed although its last rows were not all stored',
  async t => {
    const fleet = createFleet()
    const part = partOf(id)
    const put = (table: string, key: string, value: unknown) =>
      fleet.store.commit({ checks: [], writes: [{ table, part, key, value }] }, { part })
    await fleet.submit(id, [{ ...tinyTask, count: 300 }])
    const steps = { 0: '2' }
    await put(progressTable, id, { status: 'failed', queue: queueName, endedAt: Date.now(), steps })
    const tasks = [[0, 2, 2, 0, -1, -1]]
    await put(taskBlocksTable, `${id}.0.0.0`, { done: '', runners: [], checkpoints: [], tasks })
    const dispatcher = fleet.start('host-1')
    t.teardown(() => dispatcher.close())
    await waitUntil(async () => (await fleet.store.scan(taskBlocksTable, { part })).length === 0)
    t.equal(await fleet.store.read(acceptedJobsTable, id, { part }), undefined)
    t.match(await fleet.progress(id), { status: 'failed', steps: undefined })
  },
)

// Guards against TWICE after an upgrade: an earlier build that ended between two transactions left steps that
// were shown as in blocks and had no block, and all their tasks were started again.
void t.test('tasks whose blocks an earlier build has deleted are not started', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('i-7f3a91c0')
  const part = partOf(id)
  await fleet.submit(id, [
    { ...tinyTask, count: 300 },
    { ...tinyTask, after: [0] },
  ])
  const steps = { 0: '20' }
  const value = { status: 'running', queue: queueName, steps }
  const write = { table: progressTable, part, key: id, value }
  await fleet.store.commit({ checks: [], writes: [write] }, { part })
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  const last = `${id}.0.1.0`
  await waitUntil(() => runner.running.has(last))
  runner.end(last, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  t.same(runner.startedRuns, [{ task: last, run: 1 }])
})

// Guards against LOST in the same place: no run of the job is left whose end would complete it.
void t.test(
  'a job of which only deleted blocks are missing is completed by a takeover',
  async t => {
    const fleet = createFleet()
    const runner = await fleet.addRunner('i-7f3a91c0')
    const part = partOf(id)
    await fleet.submit(id, [{ ...tinyTask, count: 300 }])
    const value = { status: 'running', queue: queueName, steps: { 0: '2' } }
    const write = { table: progressTable, part, key: id, value }
    await fleet.store.commit({ checks: [], writes: [write] }, { part })
    const dispatcher = fleet.start('host-1')
    t.teardown(() => dispatcher.close())
    await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
    t.same(runner.startedRuns, [])
  },
)
