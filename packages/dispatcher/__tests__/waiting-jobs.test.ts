import { partOf, queuedJobKey, queuedJobsTable } from '@bulrushbridge/scheduler'
import { waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { createFleet, oneTask, queueName } from './fixture.js'

const id = '00000000000000a1'
const task = `${id}.0.0.0`
const part = partOf(id)

/** A deployment with one runner, and a job that is stored as the acceptor stores it. */
async function setup() {
  const fleet = createFleet({ dispatcherLeaseMs: 2_000 })
  const runner = await fleet.addRunner('r1')
  const row = { table: queuedJobsTable, part, key: queuedJobKey(queueName, id) }
  await fleet.store.commit({ checks: [], writes: [{ ...row, value: 1 }] }, { part })
  /** All hosts count the rows of this table. */
  const isWaiting = async () => (await fleet.store.read(row.table, row.key, { part })) !== undefined
  return { fleet, runner, isWaiting }
}

// Guards against MIXED: a job left the number of waiting jobs when its first run was recorded, although
// the start order was lost in a cut and no task had started.
void t.test('a job waits until a runner has confirmed a start', async t => {
  const { fleet, runner, isWaiting } = await setup()
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await waitUntil(() => dispatcher.isHolder)
  runner.fault = 'late'
  await fleet.submit(id, [oneTask])
  await waitUntil(() => runner.delayedCalls > 0)
  await new Promise(resolve => setTimeout(resolve, 100))
  t.ok(await isWaiting())
  t.equal((await fleet.progress(id))?.status, 'queued')
  runner.fault = 'none'
  await waitUntil(() => runner.running.has(task))
  await waitUntil(async () => !(await isWaiting()))
  t.equal((await fleet.progress(id))?.status, 'running')
})

// Guards against MIXED after a takeover: the next dispatcher took a recorded run for a start.
void t.test('a job whose start was lost waits after a takeover', async t => {
  const { fleet, runner, isWaiting } = await setup()
  const first = fleet.start('host-1')
  await waitUntil(() => first.isHolder)
  runner.fault = 'unreachable'
  await fleet.submit(id, [oneTask])
  await waitUntil(async () => (await fleet.progress(id))?.occurrences?.['0'] !== undefined)
  await first.close()
  const second = fleet.start('host-2')
  t.teardown(() => second.close())
  await waitUntil(() => second.isHolder)
  await new Promise(resolve => setTimeout(resolve, 200))
  t.ok(await isWaiting())
  runner.fault = 'none'
  await waitUntil(() => runner.running.has(task))
  await waitUntil(async () => !(await isWaiting()))
})

// Guards against a count that stays too high: the end may be all that a dispatcher hears of a run.
void t.test('a job that ends at once does not wait', async t => {
  const { fleet, runner, isWaiting } = await setup()
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(id, [oneTask])
  await waitUntil(() => runner.running.has(task))
  runner.end(task, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  t.notOk(await isWaiting())
})
