import type { Machine, PollRequest } from '@bulrushbridge/scheduler'
import { createMemoryRunner, waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { createFleet, holdWrites, oneTask, type FleetOptions } from './fixture.js'

const [firstId, secondId, thirdId] = ['00000000000000a1', '00000000000000b1', '00000000000000c1']
const taskOf = (id: string) => `${id}.0.0.0`
const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

/** Calls the runners of a fleet directly; each poll waits for `beforePoll`. */
function connectWith(
  beforePoll: (request: PollRequest) => Promise<unknown>,
): NonNullable<FleetOptions['connectRunners']> {
  return ({ runners }) => ({
    createRunner: ({ runnerId }) => {
      const api = (runners.get(runnerId) ?? createMemoryRunner()).api()
      return {
        ...api,
        poll: async request => {
          await beforePoll(request)
          return api.poll(request)
        },
      }
    },
    close: () => Promise.resolve(),
  })
}

// Guards against TWICE: every poll repeated the number of the last acknowledged end; a delayed one
// reached the runner after its restart and acknowledged an end of the new life that nobody had read.
void t.test('a delayed poll acknowledges no end of the next life of its runner', async t => {
  const polls = { areHeld: false, held: 0 }
  let release: () => void = () => undefined
  const released = new Promise<void>(resolve => (release = resolve))
  const fleet = createFleet({
    dispatcherLeaseMs: 5_000,
    connectRunners: connectWith(async () => {
      if (!polls.areHeld) return
      polls.held += 1
      await released
    }),
  })
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(firstId, [oneTask])
  await fleet.submit(secondId, [oneTask])
  await waitUntil(() => runner.running.size === 2)
  runner.end(taskOf(firstId), 'done')
  await waitUntil(() => runner.acknowledged === 1)
  // The poll that acknowledged the end has returned, and others have followed.
  await pause(200)
  polls.areHeld = true
  await waitUntil(() => polls.held > 0)
  runner.restart()
  await fleet.submit(thirdId, [oneTask])
  await waitUntil(() => runner.running.has(taskOf(thirdId)))
  runner.end(taskOf(thirdId), 'done')
  polls.areHeld = false
  release()
  await fleet.addRunner('r1')
  await waitUntil(async () => (await fleet.progress(thirdId))?.status === 'completed')
  const runs = runner.startedRuns.filter(({ task }) => task === taskOf(thirdId))
  t.same(runs, [{ task: taskOf(thirdId), run: 1 }])
})

// Guards against ROUTE: an idle runner is not polled, so its restart as another kind was noticed only
// after a start by its earlier registry entry had been ordered.
void t.test('an idle runner that has restarted gets no start by its earlier entry', async t => {
  const fleet = createFleet({
    dispatcherLeaseMs: 5_000,
    // Longer than a write of the store.
    connectRunners: connectWith(() => pause(30)),
  })
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await waitUntil(() => dispatcher.isHolder)
  // The session becomes idle.
  await pause(500)
  runner.restart()
  await fleet.submit(firstId, [{ ...oneTask, needs: 'kind' }])
  await pause(500)
  t.same(runner.startedRuns, [])
  await fleet.addRunner('r1', { labels: ['other-kind', 'rack-1'] })
  const other = await fleet.addRunner('r2')
  await waitUntil(() => other.running.has(taskOf(firstId)))
})

// Guards against a runner without work: its entry was removed while it could not be reached and had
// lost its runs, and when it registered again it was polled only after a minute.
void t.test('a lost runner that registers again is polled soon', async t => {
  const unused = () => Promise.resolve({ outcome: 'not-done', reason: 'unused' } as const)
  const machine: Machine = {
    id: 'm1',
    pool: 'pool',
    state: 'up',
    zone: 'zone-a',
    labels: ['kind', 'rack-1'],
    capacity: { cpuMillis: 4_000, memoryMb: 4_000, accelerators: 0 },
    runnerId: 'r1',
  }
  let listed = [machine]
  const fleet = createFleet({
    dispatcherLeaseMs: 5_000,
    machines: {
      list: () => Promise.resolve({ outcome: 'done', value: listed }),
      move: unused,
      upkeep: unused,
      close: () => Promise.resolve(),
    },
  })
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(firstId, [oneTask])
  await waitUntil(() => runner.running.has(taskOf(firstId)))
  runner.fault = 'unreachable'
  listed = []
  await fleet.removeRunner('r1')
  // The list of machines ends the run.
  await pause(3_000)
  listed = [machine]
  runner.end(taskOf(firstId), 'lapsed')
  runner.fault = 'none'
  await fleet.addRunner('r1')
  await waitUntil(() => runner.startedRuns.length > 1)
})

// Guards against a place that stays taken: the task of a run that was being stored was done by an
// earlier run, which had been given up; the recorded run was neither ordered nor removed.
void t.test('a run whose task is done while it is being stored leaves its place', async t => {
  const unused = () => Promise.resolve({ outcome: 'not-done', reason: 'unused' } as const)
  const fleet = createFleet({
    dispatcherLeaseMs: 5_000,
    machines: {
      list: () => Promise.resolve({ outcome: 'done', value: [] }),
      move: unused,
      upkeep: unused,
      close: () => Promise.resolve(),
    },
  })
  const whole = { ...oneTask, amounts: { cpuMillis: 4_000, memoryMb: 100, accelerators: 0 } }
  const first = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(firstId, [whole])
  await waitUntil(() => first.running.has(taskOf(firstId)))
  await pause(300)
  const writes = holdWrites(fleet.store, firstId)
  first.fault = 'unreachable'
  const second = await fleet.addRunner('r2')
  await waitUntil(() => writes.held > 0)
  // The second run is recorded by now, and its write waits.
  await pause(400)
  first.end(taskOf(firstId), 'done')
  first.fault = 'none'
  await pause(400)
  writes.release()
  await waitUntil(async () => (await fleet.progress(firstId))?.status === 'completed')
  t.same(second.startedRuns, [])
  await fleet.addRunner('r1', { isDraining: true })
  await pause(400)
  await fleet.submit(secondId, [whole])
  await waitUntil(() => second.running.has(taskOf(secondId)))
})

// Guards against ROUTE: a poll that hangs on the connection to the earlier life of a runner hides its
// restart, and starts by the earlier registry entry go out meanwhile.
void t.test('a restarted runner gets no start while a poll to its earlier life hangs', async t => {
  let areHanging = false
  const fleet = createFleet({
    dispatcherLeaseMs: 5_000,
    connectRunners: connectWith(({ waitMs }) => pause(areHanging ? waitMs + 300 : 0)),
  })
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(firstId, [{ ...oneTask, needs: 'kind' }])
  await waitUntil(() => runner.running.has(taskOf(firstId)))
  areHanging = true
  // The poll that is under way ends, and the next one hangs.
  await pause(60)
  runner.restart()
  await fleet.submit(secondId, [{ ...oneTask, needs: 'kind' }])
  await pause(200)
  t.same(runner.startedRuns, [{ task: taskOf(firstId), run: 1 }])
})

// Guards against ROUTE: an order without an answer was repeated although the registry showed another
// incarnation of the runner, which may be of another kind.
void t.test('a start is not repeated once the registry shows a restart', async t => {
  let areHanging = false
  const noAnswer = { outcome: 'unknown', reason: 'no answer in time' } as const
  const fleet = createFleet({
    dispatcherLeaseMs: 5_000,
    connectRunners: ({ runners }) => ({
      createRunner: ({ runnerId }) => {
        const api = (runners.get(runnerId) ?? createMemoryRunner()).api()
        const orHang = async <T>(call: () => Promise<T>, timeoutMs: number) => {
          if (!areHanging) return call()
          await pause(timeoutMs)
          return noAnswer
        }
        return {
          ...api,
          poll: req => orHang(() => api.poll(req), 1_500),
          start: req => orHang(() => api.start(req), 500),
        }
      },
      close: () => Promise.resolve(),
    }),
  })
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(firstId, [{ ...oneTask, needs: 'kind' }])
  await waitUntil(() => runner.running.has(taskOf(firstId)))
  areHanging = true
  await pause(60)
  await fleet.submit(secondId, [{ ...oneTask, needs: 'kind' }])
  // The order is under way; the runner restarts meanwhile, and its poll still hangs.
  await pause(200)
  runner.restart()
  await fleet.addRunner('r1', { labels: ['other', 'rack-1'] })
  areHanging = false
  await pause(500)
  t.same(runner.startedRuns, [{ task: taskOf(firstId), run: 1 }])
})
