import type { Machine, MachineApi } from '@bulrushbridge/scheduler'
import { waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { createFleet, oneTask } from './fixture.js'

const id = '00000000000000a1'
const task = `${id}.0.0.0`
const laterId = '00000000000000b2'
const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
const machine = {
  id: 'm1',
  pool: 'pool',
  zone: 'zone-a',
  labels: ['kind', 'rack-1'],
  capacity: { cpuMillis: 4_000, memoryMb: 4_000, accelerators: 0 },
}

// Guards against TWICE: a start without an answer is carried out late, after its repetition was
// refused and the task was started on another runner.
void t.test('a refused repetition does not end a start that may still be carried out', async t => {
  const fleet = createFleet()
  const late = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await waitUntil(() => dispatcher.isHolder)
  late.fault = 'late'
  await fleet.submit(id, [oneTask])
  await waitUntil(() => late.delayedCalls === 1)
  late.fault = 'unhealthy'
  const other = await fleet.addRunner('r2')
  // The task can only start again on the other runner.
  await fleet.addRunner('r1', { isDraining: true })
  // Longer than the pause before the repetition.
  await new Promise(resolve => setTimeout(resolve, 300))
  t.same([...other.running], [], 'the first start may still be carried out')
  late.fault = 'none'
  await waitUntil(() => other.running.has(task))
  late.applyDelayed()
  t.same([...late.running], [], 'the task runs once')
})

// Guards against ROUTE: a run that was given up although its start could still be carried out left its
// place to another task of the step, and the runner had more of them than `maxPerRunner`.
void t.test('a start that may still be carried out keeps its place on the runner', async t => {
  const fleet = createFleet()
  const other = await fleet.addRunner('r2')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  // With a task on it, the other runner is the better fit for the next one.
  await fleet.submit(laterId, [oneTask])
  await waitUntil(() => other.running.size === 1)
  await fleet.addRunner('r2', { isDraining: true })
  const late = await fleet.addRunner('r1')
  // Longer than the pause between two reads of the registry.
  await pause(400)
  late.fault = 'late'
  await fleet.submit(id, [{ ...oneTask, count: 2, maxPerRunner: 1 }])
  await waitUntil(() => late.delayedCalls === 1)
  late.fault = 'unhealthy'
  await waitUntil(() => late.refusedOrders > 0)
  await fleet.addRunner('r2')
  await waitUntil(() => other.running.size === 2)
  late.fault = 'none'
  await waitUntil(() => late.running.size === 1)
  late.applyDelayed()
  t.equal(late.running.size, 1, 'the runner has one task of the step')
})

// Guards against UNASKED: an unhealthy runner refused the stop of a cancelled job's run without
// carrying it out, and the run went on until the end of the day.
void t.test('a stop that an unhealthy runner refuses is sent again', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(id, [oneTask])
  await waitUntil(() => runner.running.has(task))
  runner.fault = 'unhealthy'
  await fleet.cancel(id)
  await waitUntil(() => runner.refusedOrders > 0)
  runner.fault = 'none'
  await waitUntil(() => runner.running.size === 0)
  t.same(runner.startedRuns, [{ task, run: 1 }])
})

// Guards against TWICE: a runner that answered again while the platform listed its machines lost its
// runs by that list, which still showed its machine as down, and they started a second time.
void t.test('an old list of machines does not end runs of a reachable runner', async t => {
  const lists: ((machines: Machine[]) => void)[] = []
  const unused = () => Promise.resolve({ outcome: 'not-done', reason: 'unused' } as const)
  const machines: MachineApi<Machine> = {
    list: () =>
      new Promise(resolve => {
        lists.push(value => {
          resolve({ outcome: 'done', value })
        })
      }),
    move: unused,
    upkeep: unused,
    close: () => Promise.resolve(),
  }
  const fleet = createFleet({ machines })
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(async () => {
    for (const answer of lists) answer([])
    await dispatcher.close()
  })
  await fleet.submit(id, [oneTask])
  await waitUntil(() => runner.running.has(task))
  for (const answer of lists.splice(0)) answer([{ ...machine, state: 'up', runnerId: 'r1' }])
  runner.fault = 'unreachable'
  // Longer than a poll, so that the next list is requested while the runner can't be reached.
  await new Promise(resolve => setTimeout(resolve, 100))
  await waitUntil(() => lists.length > 0)
  runner.fault = 'none'
  await fleet.submit(laterId, [oneTask])
  await waitUntil(() => runner.running.has(`${laterId}.0.0.0`))
  for (const answer of lists.splice(0)) answer([{ ...machine, state: 'down', runnerId: undefined }])
  await new Promise(resolve => setTimeout(resolve, 200))
  t.same(
    runner.startedRuns.map(({ run }) => run),
    [1, 1],
  )
})

// Guards against TWICE: an order that was sent before a runner restarted was carried out after it,
// because the restarted runner had forgotten the fencing token, although the task was done.
void t.test('a start from before a restart of its runner starts nothing after it', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await waitUntil(() => dispatcher.isHolder)
  runner.fault = 'late'
  await fleet.submit(id, [oneTask])
  await waitUntil(() => runner.delayedCalls === 1)
  runner.fault = 'none'
  await waitUntil(() => runner.running.has(task))
  runner.end(task, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  runner.restart()
  await fleet.addRunner('r1')
  await fleet.submit(laterId, [oneTask])
  await waitUntil(() => runner.running.has(`${laterId}.0.0.0`))
  runner.applyDelayed()
  t.notOk(runner.running.has(task))
})

// Guards against TWICE: a poll that was sent before a runner restarted acknowledged, by the numbers of
// the earlier life, ends of the new one that nobody had read; their tasks ran again.
void t.test('a poll from before a restart of its runner acknowledges nothing after it', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(id, [{ ...oneTask, count: 2 }])
  await waitUntil(() => runner.running.size === 2)
  runner.end(task, 'done')
  await waitUntil(() => runner.acknowledged === 1)
  runner.fault = 'late-polls'
  await waitUntil(() => runner.delayedCalls > 0)
  runner.restart()
  runner.fault = 'none'
  await fleet.addRunner('r1')
  await fleet.submit(laterId, [oneTask])
  const laterTask = `${laterId}.0.0.0`
  await waitUntil(() => runner.running.has(laterTask))
  runner.end(laterTask, 'done')
  // Before the dispatcher reads the end.
  runner.applyDelayed()
  await waitUntil(async () => (await fleet.progress(laterId))?.status !== 'queued')
  await new Promise(resolve => setTimeout(resolve, 200))
  t.equal((await fleet.progress(laterId))?.status, 'completed')
  t.equal(runner.startedRuns.filter(run => run.task === laterTask).length, 1)
})

// Guards against TWICE: a runner that answered all calls lost its runs because it could not renew its
// registry entry and the platform took its machine for down.
void t.test('a runner that answers keeps its runs without a registry entry', async t => {
  const unused = () => Promise.resolve({ outcome: 'not-done', reason: 'unused' } as const)
  let lists = 0
  const machines: MachineApi<Machine> = {
    list: () => {
      lists += 1
      return Promise.resolve({
        outcome: 'done',
        value: [{ ...machine, state: 'down', runnerId: undefined }],
      })
    },
    move: unused,
    upkeep: unused,
    close: () => Promise.resolve(),
  }
  const fleet = createFleet({ machines })
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(id, [oneTask])
  await waitUntil(() => runner.running.has(task))
  await fleet.removeRunner('r1')
  const listsBefore = lists
  await waitUntil(() => lists >= listsBefore + 3)
  t.equal(runner.running.get(task), 1)
  await fleet.cancel(id)
  await waitUntil(() => runner.running.size === 0)
  t.same(runner.startedRuns, [{ task, run: 1 }])
})

// Guards against TWICE: the session of an idle runner did not poll it when its registry entry showed a
// restart, so the runner did not learn its new fencing token and carried out a start from before.
void t.test('an idle runner learns its fencing token after a restart', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await waitUntil(() => dispatcher.isHolder)
  runner.fault = 'late'
  await fleet.submit(id, [oneTask])
  await waitUntil(() => runner.delayedCalls === 1)
  runner.fault = 'none'
  await waitUntil(() => runner.running.has(task))
  runner.end(task, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  await waitUntil(() => runner.acknowledged === 1)
  // The session becomes idle.
  await pause(200)
  runner.restart()
  await fleet.addRunner('r1')
  // Much longer than the pause between two fetches of registry changes.
  await pause(1_000)
  runner.applyDelayed()
  t.notOk(runner.running.has(task), 'the start from before the restart is refused')
  await pause(1_000)
  t.notOk(runner.running.has(task), 'at least it is found and stopped within a second')
})
