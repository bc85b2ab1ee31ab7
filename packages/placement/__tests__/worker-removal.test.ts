import t from 'tap'
import { hostsTable, workerKey, type WorkerRow } from '@bulrushbridge/host'
import type { TableService } from '@bulrushbridge/store'
import { createTaskRow } from '../src/create-task-row.js'
import { TaskStore } from '../src/task-store.js'
import { createFixture, pool, queue } from './fixture.js'

const removeRow = (worker: string) => ({
  table: hostsTable,
  key: workerKey(pool, worker),
  value: null,
})

void t.test('no task is claimed on a worker whose row was deleted after it was read', async t => {
  const { acceptJob, createHolder, isInState, countStarts, table, taskRows } =
    await createFixture(t)
  const control = createHolder('c1')
  await control.acquireDuty()
  await control.placement.round()
  await table.commit({ checks: [], writes: [removeRow('w1'), removeRow('w2')] })
  const id = await acceptJob()
  await control.placement.round()
  t.ok(await isInState(id, 'queued'))
  t.same(await taskRows(), [])
  t.equal(countStarts(id), 0)
})

void t.test('no task is claimed on a worker whose row is deleted during the claim', async t => {
  const { acceptJob, readJob, table, taskRows } = await createFixture(t, { workers: 1 })
  const job = await readJob(await acceptJob())
  const worker = await table.read<WorkerRow>(hostsTable, workerKey(pool, 'w1'))
  if (worker === undefined) throw new Error('the worker has no row')
  let commits = 0
  const racingTable: TableService = {
    read: (name, key, opts) => table.read(name, key, opts),
    scan: (name, opts) => table.scan(name, opts),
    commit: async tx => {
      if (commits++ === 0) await table.commit({ checks: [], writes: [removeRow('w1')] })
      return table.commit(tx)
    },
    close: () => Promise.resolve(),
  }
  const none = { checks: [], writes: [] }
  const rows = new TaskStore({
    table: racingTable,
    permits: {
      configure: () => undefined,
      reserveForTask: () => Promise.resolve(none),
      releaseForTask: () => Promise.resolve(none),
    },
    pool,
    held: () => ({ token: 1, check: { table: 'duty-fences', key: 'none', version: 0 } }),
  })
  const placement = { job: { ...job, queue }, worker: worker.value, size: job.request }
  t.same(await rows.claim('lamps', [createTaskRow(placement, { pool, token: 1, boot: 'b1' })]), [])
  t.same(await taskRows(), [])
  t.equal((await readJob(job.id)).state, 'queued')
})
