import { waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { createFleet, holdWrites, oneTask } from './fixture.js'

const id = '00000000000000c1'
const task = `${id}.0.0.0`
const needsKind = { ...oneTask, needs: 'kind' }
const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

// Guards against ROUTE: a runner restarted as another kind, and until its new registry entry was read,
// tasks that need its earlier label started on it.
void t.test('a restarted runner gets no task by the entry of its earlier life', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(id, [needsKind])
  await waitUntil(() => runner.running.has(task))
  runner.restart()
  // Several polls show the restart; the entry of the earlier life is still registered.
  await pause(600)
  t.same(runner.startedRuns, [{ task, run: 1 }])
  await fleet.addRunner('r1', { labels: ['other-kind', 'rack-1'] })
  const other = await fleet.addRunner('r2')
  await waitUntil(() => other.running.has(task))
  t.same(runner.startedRuns, [{ task, run: 1 }])
})

// Guards against a runner that gets no work any more after a restart.
void t.test('a restarted runner gets tasks once its present life is registered', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(id, [needsKind])
  await waitUntil(() => runner.running.has(task))
  runner.restart()
  await pause(200)
  await fleet.addRunner('r1')
  await waitUntil(() => runner.running.has(task))
})

// Guards against ROUTE: the entry of a runner changed while a run on it was being stored, and the start
// was ordered there all the same.
for (const [what, changed] of Object.entries({
  'moved to another pool': { pool: 'other-pool' },
  'lost the label that the task needs': { labels: ['other-kind', 'rack-1'] },
})) {
  void t.test(`no start is ordered on a runner that ${what} meanwhile`, async t => {
    const fleet = createFleet({ dispatcherLeaseMs: 5_000 })
    const runner = await fleet.addRunner('r1')
    const dispatcher = fleet.start('host-1')
    t.teardown(() => dispatcher.close())
    await waitUntil(() => dispatcher.isHolder)
    await fleet.submit(id, [needsKind])
    const writes = holdWrites(fleet.store, id)
    await waitUntil(() => writes.held > 0)
    await fleet.addRunner('r1', changed)
    // Longer than the pause between two reads of the registry.
    await pause(400)
    writes.release()
    const other = await fleet.addRunner('r2')
    await waitUntil(() => other.running.has(task))
    t.same(runner.startedRuns, [])
  })
}

// Guards against GANG: one member of a gang was not ordered, because its runner had changed, and the
// others started and waited for it.
void t.test('no member of a gang is ordered if one of them may not start any more', async t => {
  const fleet = createFleet({ dispatcherLeaseMs: 5_000 })
  const first = await fleet.addRunner('r1')
  const second = await fleet.addRunner('r2')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await waitUntil(() => dispatcher.isHolder)
  const amounts = { cpuMillis: 4_000, memoryMb: 100, accelerators: 0 }
  await fleet.submit(id, [{ ...oneTask, amounts, count: 2, isGang: true }])
  const writes = holdWrites(fleet.store, id)
  await waitUntil(() => writes.held > 0)
  await fleet.addRunner('r1', { pool: 'other-pool' })
  await pause(400)
  writes.release()
  await pause(500)
  t.same([first.startedRuns, second.startedRuns], [[], []])
})
