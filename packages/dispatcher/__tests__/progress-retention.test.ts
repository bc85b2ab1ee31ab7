import { partOf, progressTable, type Progress } from '@bulrushbridge/scheduler'
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
