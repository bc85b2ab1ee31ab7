import { partOf, progressTable, taskBlocksTable, type Progress } from '@bulrushbridge/scheduler'
import { createMemoryStore } from '@bulrushbridge/standins'
import { createLogger } from '@bulrushbridge/telemetry'
import t from 'tap'
import { removeOldProgress } from '../src/progress-retention.js'

// Guards against rows that are never removed, and against removing a status that can be queried.
void t.test('only jobs that ended long ago are removed', async t => {
  const store = createMemoryStore()
  const part = partOf('a')
  const put = async (key: string, value: Progress) => {
    await store.commit({ checks: [], writes: [{ table: progressTable, part, key, value }] })
  }
  await put('old', { status: 'completed', queue: 'q', endedAt: 0 })
  await put('recent', { status: 'failed', queue: 'q', endedAt: 900 })
  await put('running', { status: 'running', queue: 'q' })
  const log = createLogger({ program: 'test', level: 'silent' })
  await removeOldProgress({ store, statusKeptMs: 500, log }, part, 1_000)
  const rows = await store.scan(progressTable, { part })
  t.same(rows.map(({ key }) => key).sort(), ['recent', 'running'])
})

// Guards against TWICE: blocks of a job that goes on were removed, and their tasks taken for untouched, when
// the scan of progress was older than the first write of the job.
void t.test(
  'blocks of a job whose progress row has come since it was looked for are kept',
  async t => {
    const store = createMemoryStore()
    const part = partOf('a')
    const put = (table: string, key: string, value: unknown) =>
      store.commit({ checks: [], writes: [{ table, part, key, value }] }, { part })
    await put(taskBlocksTable, 'gone.0.0.0', {})
    await put(taskBlocksTable, 'going.0.0.0', {})
    const scan = store.scan.bind(store)
    store.scan = async (table, opts) => {
      const rows = await scan(table, opts)
      if (table === progressTable)
        await put(progressTable, 'going', { status: 'running', queue: 'q' })
      return rows as never
    }
    const log = createLogger({ program: 'test', level: 'silent' })
    await removeOldProgress({ store, statusKeptMs: 500, log }, part, 1_000)
    const readKeys = async () => (await scan(taskBlocksTable, { part })).map(({ key }) => key)
    t.ok((await readKeys()).includes('going.0.0.0'))
    await removeOldProgress({ store, statusKeptMs: 500, log }, part, 1_000)
    t.same(await readKeys(), ['going.0.0.0'])
  },
)
