import t from 'tap'
import { JobExecution, partOf, progressTable } from '@bulrushbridge/scheduler'
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
