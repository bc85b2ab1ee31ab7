import t from 'tap'
import { hostsTable, workerKey, type WorkerRow } from '@bulrushbridge/host'
import type { TableService } from '@bulrushbridge/store'
import { taskOf } from '../src/task-of.js'
import { TaskRows } from '../src/task-rows.js'
import { createFixture, pool, queue } from './fixture.js'

const leave = (worker: string) => ({
  table: hostsTable,
  key: workerKey(pool, worker),
  value: null,
})

void t.test('no task is claimed on a worker that left after its row was read', async t => {
  const { accept, holder, isIn, starts, table, taskRows } = await createFixture(t)
  const control = holder('c1')
  await control.take()
  await control.placement.round()
  await table.commit({ checks: [], writes: [leave('w1'), leave('w2')] })
  const id = await accept()
  await control.placement.round()
  t.ok(await isIn(id, 'queued'))
  t.same(await taskRows(), [])
  t.equal(starts(id), 0)
})

void t.test('a worker that leaves while a claim is under way is not claimed', async t => {
  const { accept, jobOf, table, taskRows } = await createFixture(t, { workers: 1 })
  const job = await jobOf(await accept())
  const worker = await table.read<WorkerRow>(hostsTable, workerKey(pool, 'w1'))
  if (worker === undefined) throw new Error('the worker has no row')
  let commits = 0
  const racing: TableService = {
    read: (name, key, opts) => table.read(name, key, opts),
    scan: (name, opts) => table.scan(name, opts),
    commit: async tx => {
      if (commits++ === 0) await table.commit({ checks: [], writes: [leave('w1')] })
      return table.commit(tx)
    },
    close: () => Promise.resolve(),
  }
  const none = { checks: [], writes: [] }
  const rows = new TaskRows({
    table: racing,
    permits: {
      configure: () => undefined,
      reserveForTask: () => Promise.resolve(none),
      releaseForTask: () => Promise.resolve(none),
    },
    pool,
    held: () => ({ token: 1, check: { table: 'duty-fences', key: 'none', version: 0 } }),
  })
  const placement = { job: { ...job, queue }, worker: worker.value, size: job.request }
  t.same(await rows.claim('lamps', [taskOf(placement, { pool, token: 1, boot: 'b1' })]), [])
  t.same(await taskRows(), [])
  t.equal((await jobOf(job.id)).state, 'queued')
})
