import { waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { createFleet, oneTask } from './fixture.js'

const id = '00000000000000b1'
const task = `${id}.0.0.0`

void t.test('steps start only when the steps before them are done', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  await fleet.submit(id, [
    { ...oneTask, count: 2 },
    { ...oneTask, after: [0] },
  ])
  const dispatcher = fleet.start('host-1')
  await waitUntil(() => runner.running.size === 2)
  runner.end(`${id}.0.0.0`, 'done')
  await waitUntil(() => runner.acknowledged === 1)
  t.equal(runner.running.size, 1)
  runner.end(`${id}.0.0.1`, 'done')
  await waitUntil(() => runner.running.has(`${id}.0.1.0`))
  runner.end(`${id}.0.1.0`, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  await dispatcher.close()
})

// Guards against acknowledging an end before it is stored: a crash in between would lose it.
void t.test('an end is acknowledged only after it is stored', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  await fleet.submit(id, [oneTask])
  const dispatcher = fleet.start('host-1')
  await waitUntil(() => runner.running.has(task))
  fleet.store.fault = 'refuse'
  runner.end(task, 'done')
  await new Promise(resolve => setTimeout(resolve, 100))
  t.equal(runner.acknowledged, 0)
  fleet.store.fault = 'none'
  await waitUntil(() => runner.acknowledged === 1)
  t.equal((await fleet.progress(id))?.status, 'completed')
  await dispatcher.close()
})

// Guards against a lost answer of the store, which must not lose the change or stop the writer.
void t.test('a transaction whose answer is lost is stored once', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  await waitUntil(() => dispatcher.isHolder)
  await fleet.submit(id, [oneTask])
  fleet.store.fault = 'lose-after'
  await new Promise(resolve => setTimeout(resolve, 60))
  fleet.store.fault = 'none'
  await waitUntil(() => runner.running.has(task))
  runner.end(task, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  await dispatcher.close()
  t.equal(runner.startedRuns.length, 1)
})

// Guards against a transaction that takes effect seconds later and restores an old state.
void t.test('a late transaction does not replace a newer state', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  await waitUntil(() => dispatcher.isHolder)
  await fleet.submit(id, [oneTask])
  fleet.store.fault = 'late'
  await new Promise(resolve => setTimeout(resolve, 60))
  fleet.store.fault = 'none'
  await waitUntil(() => runner.running.has(task))
  runner.end(task, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  const before = await fleet.progress(id)
  t.ok(fleet.store.applyDelayed().length > 0)
  t.same(await fleet.progress(id), before)
  await dispatcher.close()
})

// Guards against a runner that restarts under the same id and has lost its runs and end numbers.
void t.test('runs on a runner that was restarted start again', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  await fleet.submit(id, [oneTask])
  const dispatcher = fleet.start('host-1')
  await waitUntil(() => runner.running.has(task))
  runner.restart()
  await fleet.addRunner('r1')
  await waitUntil(() => runner.running.get(task) === 2)
  runner.end(task, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  t.equal(runner.acknowledged <= 1, true)
  await dispatcher.close()
})

// Guards against failing a job before its attempts are used up, and against running it afterwards.
void t.test('a job fails after its attempts, and its other runs are stopped', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  await fleet.submit(id, [{ ...oneTask, count: 2 }])
  const dispatcher = fleet.start('host-1')
  await waitUntil(() => runner.running.size === 2)
  runner.end(task, 'failed')
  await waitUntil(() => runner.running.get(task) === 2)
  runner.end(task, 'failed')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'failed')
  await waitUntil(() => runner.running.size === 0)
  t.equal(runner.startedRuns.length, 3)
  await dispatcher.close()
})

void t.test('a cancelled job is stopped and starts nothing', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  await fleet.submit(id, [oneTask, { ...oneTask, after: [0] }])
  const dispatcher = fleet.start('host-1')
  await waitUntil(() => runner.running.has(task))
  await fleet.cancel(id)
  await waitUntil(() => runner.running.size === 0)
  await waitUntil(async () => (await fleet.progress(id))?.status === 'cancelled')
  await new Promise(resolve => setTimeout(resolve, 50))
  t.equal(runner.startedRuns.length, 1)
  await dispatcher.close()
})

// Guards against starts in a zone that operators have taken out, and on runners that shut down.
void t.test('nothing starts in a zone that is out or on a draining runner', async t => {
  const fleet = createFleet()
  const inZone = await fleet.addRunner('r1')
  const draining = await fleet.addRunner('r2', { zone: 'zone-b', isDraining: true })
  fleet.setZoneOut('zone-a')
  await fleet.submit(id, [oneTask])
  const dispatcher = fleet.start('host-1')
  await waitUntil(() => dispatcher.isHolder)
  await new Promise(resolve => setTimeout(resolve, 100))
  const open = await fleet.addRunner('r3', { zone: 'zone-b' })
  await waitUntil(() => open.running.has(task))
  t.equal(inZone.startedRuns.length + draining.startedRuns.length, 0)
  await dispatcher.close()
})

// Runners start whatever they are ordered to, so the dispatcher must keep to their capacity.
void t.test('the capacity of a runner and the limit of an organisation are kept', async t => {
  const limit = { cpuMillis: 3_000, memoryMb: 0, accelerators: 0 }
  const organisations = [{ name: 'lamps', keys: [], weight: 1, limit }]
  const fleet = createFleet({ cfg: { organisations } })
  const runner = await fleet.addRunner('r1')
  await fleet.submit(id, [{ ...oneTask, count: 6 }], 'lamps')
  await fleet.submit('00000000000000b2', [{ ...oneTask, count: 6 }])
  const dispatcher = fleet.start('host-1')
  await waitUntil(() => runner.running.size >= 4)
  await new Promise(resolve => setTimeout(resolve, 100))
  t.equal(runner.running.size, 4)
  const limited = [...runner.running.keys()].filter(name => name.startsWith(id)).length
  t.ok(limited <= 3)
  await dispatcher.close()
})

// Guards against a second run of a task when the answer to its start order is lost.
void t.test('a start without an answer is repeated as the same run', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  await waitUntil(() => dispatcher.isHolder)
  runner.fault = 'lose-after'
  await fleet.submit(id, [oneTask])
  await waitUntil(() => runner.running.has(task))
  runner.fault = 'none'
  await new Promise(resolve => setTimeout(resolve, 300))
  t.ok(runner.startedRuns.every(({ run }, i) => run === i + 1))
  const [last] = [...runner.running]
  runner.end(task, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  t.ok(last)
  await dispatcher.close()
})

// Guards against counting a cancelled job once for each of its runs, which hid how many jobs had
// ended, in the metrics as in the log.
void t.test('a cancelled job with several runs is counted as ended once', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(id, [{ ...oneTask, count: 3 }])
  await waitUntil(() => runner.running.size === 3)
  await fleet.cancel(id)
  await waitUntil(() => runner.acknowledged === 3)
  const ended = /^bulrush_jobs_ended_total.* (\d+)$/m.exec(fleet.metrics.render())
  t.equal(ended?.[1], '1')
})
