import { waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { createFleet, holdWrites, oneTask, timing } from './fixture.js'

const id = '00000000000000a1'
const task = `${id}.0.0.0`

/** Makes the store refuse calls, so that a dispatcher cannot release its lease, as after a kill. */
function kill(fleet: ReturnType<typeof createFleet>): void {
  fleet.store.fault = 'refuse'
}

// Guards against acknowledging ends of jobs that the new term has not read yet: the runner would
// forget the end, and the task would run again.
void t.test('an end listed during a takeover is not lost', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  await fleet.submit(id, [oneTask])
  const first = fleet.start('host-1')
  await waitUntil(() => runner.running.has(task))
  kill(fleet)
  runner.end(task, 'done')
  await first.close()
  fleet.store.fault = 'none'
  const second = fleet.start('host-2')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  await waitUntil(() => runner.acknowledged === 1)
  await second.close()
  t.equal(runner.startedRuns.length, 1)
})

// Guards against stopping runs of an earlier term as unexpected runs.
void t.test('runs continue when another dispatcher takes over', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  await fleet.submit(id, [oneTask])
  const first = fleet.start('host-1')
  await waitUntil(() => runner.running.has(task))
  await first.close()
  const second = fleet.start('host-2')
  await waitUntil(() => second.isHolder)
  await new Promise(resolve => setTimeout(resolve, 200))
  t.equal(runner.running.get(task), 1)
  runner.end(task, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  await second.close()
  t.equal(runner.startedRuns.length, 1)
})

// Guards against starting a task again while a runner that cannot be reached may still run it.
void t.test(
  'a recorded run on an unreachable runner blocks its task until the lease ends',
  async t => {
    const fleet = createFleet()
    const lost = await fleet.addRunner('r1')
    await fleet.submit(id, [oneTask])
    const first = fleet.start('host-1')
    await waitUntil(() => lost.running.has(task))
    await first.close()
    lost.fault = 'unreachable'
    const other = await fleet.addRunner('r2')
    const startedAt = performance.now()
    const second = fleet.start('host-2')
    await waitUntil(() => other.running.has(task))
    // The first dispatcher may have renewed leases of 300 ms for another 200 ms.
    t.ok(performance.now() - startedAt >= 500)
    t.equal(other.running.get(task), 2)
    await second.close()
  },
)

// Guards against a delayed order of an earlier term: the runner refuses it by its fencing token,
// and the task runs.
void t.test('an order that is carried out after the takeover starts nothing', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const first = fleet.start('host-1')
  await waitUntil(() => first.isHolder)
  runner.fault = 'late'
  await fleet.submit(id, [oneTask])
  // The run is recorded; the job counts as running only once its start is confirmed.
  await waitUntil(async () => (await fleet.progress(id))?.occurrences?.['0'] !== undefined)
  await waitUntil(() => runner.delayedCalls > 0)
  kill(fleet)
  await first.close()
  fleet.store.fault = 'none'
  runner.fault = 'none'
  const second = fleet.start('host-2')
  await waitUntil(() => runner.running.get(task) === 2)
  runner.applyDelayed()
  t.same([...runner.running], [[task, 2]])
  await second.close()
})

// In the incident SHORT a host with a quarter of the others' processor time placed all work for
// 23 s, because nothing moved the lease to a stronger host.
void t.test('a weak host hands its term over to a strong one, and runs continue', async t => {
  const fleet = createFleet({ dispatcherLeaseMs: 2_000 })
  const runner = await fleet.addRunner('r1')
  await fleet.submit(id, [{ ...oneTask, count: 2 }])
  const weak = fleet.start('weak', { startsPerSecond: 300 })
  await waitUntil(() => runner.running.size === 2)
  const strong = fleet.start('strong', { startsPerSecond: 1_300 })
  t.teardown(() => Promise.all([weak.close(), strong.close()]))
  await waitUntil(() => strong.isHolder)
  t.equal(weak.isHolder, false)
  runner.end(task, 'done')
  runner.end(`${id}.0.0.1`, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  t.ok(strong.isHolder, 'the weak host does not take the lease back')
  t.equal(runner.startedRuns.length, 2, 'no task is started again')
})

// Guards against a process that was paused and acts on a lease that has run out meanwhile: what waited
// for the store went on before the timer that notices the end of the lease.
void t.test('a dispatcher that was paused beyond its lease orders no start', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await waitUntil(() => dispatcher.isHolder)
  await fleet.submit(id, [oneTask])
  const writes = holdWrites(fleet.store, id)
  await waitUntil(() => writes.held > 0)
  const resumeAt = performance.now() + 4 * timing.dispatcherLeaseMs
  while (performance.now() < resumeAt);
  writes.release()
  // No timer runs before the microtasks that the answer of the store leads to.
  await new Promise(resolve => setImmediate(resolve))
  t.same(runner.startedRuns, [])
  await waitUntil(() => runner.running.has(task))
})
