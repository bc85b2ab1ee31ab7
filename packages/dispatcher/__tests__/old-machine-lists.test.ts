import type { CallResult, Machine, MachineAnswer, MachineApi } from '@bulrushbridge/scheduler'
import { createMemoryRunner, waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { createFleet, oneTask } from './fixture.js'

const id = '00000000000000d1'
const task = `${id}.0.0.0`
const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

const machine: Machine = {
  id: 'm1',
  pool: 'pool',
  state: 'up',
  zone: 'zone-a',
  labels: ['kind', 'rack-1'],
  capacity: { cpuMillis: 4_000, memoryMb: 4_000, accelerators: 0 },
  runnerId: 'r1',
}

/** A machine service that answers lists when the test says so, and never answers orders. */
function createSlowMachines() {
  const unanswered: CallResult<MachineAnswer> = { outcome: 'unknown', reason: 'no answer' }
  const requested: ((result: CallResult<Machine[]>) => void)[] = []
  const orders: string[] = []
  const order = (kind: string) => () => {
    orders.push(kind)
    return Promise.resolve(unanswered)
  }
  const api: MachineApi<Machine> = {
    list: () => new Promise(resolve => requested.push(resolve)),
    move: order('move'),
    upkeep: order('upkeep'),
    close: () => Promise.resolve(),
  }
  const answerLists = (machines: Machine[]) => {
    for (const answer of requested.splice(0)) answer({ outcome: 'done', value: machines })
  }
  return { api, orders, requested, answerLists }
}

// Guards against TWICE: the machine of a runner was ordered into upkeep or another pool without an
// answer, and restarted; a list from before showed it as down, and the runs that the runner listed in
// later polls were given up and started again.
void t.test('an old list does not end runs on a machine that is due for upkeep', async t => {
  const machines = createSlowMachines()
  const fleet = createFleet({
    machines: machines.api,
    waves: [{ id: 1, machines: ['m1'], timeMs: 60_000, maxUnavailable: 1 }],
    dispatcherLeaseMs: 5_000,
  })
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(async () => {
    machines.answerLists([])
    await dispatcher.close()
  })
  await fleet.submit(id, [{ ...oneTask, isLasting: true }])
  await waitUntil(() => runner.running.has(task))
  await waitUntil(() => machines.requested.length > 0)
  machines.answerLists([machine])
  await waitUntil(() => machines.orders.includes('upkeep'))
  await waitUntil(() => machines.requested.length > 0)
  // The runner answers polls that were sent after the list was requested.
  await pause(300)
  machines.answerLists([{ ...machine, state: 'down', runnerId: undefined }])
  await pause(500)
  t.same(runner.startedRuns, [{ task, run: 1 }])
  t.equal(runner.running.size, 1)
})

// Guards against TWICE: a run whose start order was held up was given up as its machine was shown as
// down, and the next incarnation of the runner carried the order out beside the task's next run.
void t.test('a run whose start is unanswered is not given up with its machine', async t => {
  const machines = createSlowMachines()
  let isCut = false
  const fleet = createFleet({
    machines: machines.api,
    dispatcherLeaseMs: 5_000,
    connectRunners: ({ runners }) => ({
      createRunner: ({ runnerId }) => {
        const api = (runners.get(runnerId) ?? createMemoryRunner()).api()
        const noAnswer = { outcome: 'unknown', reason: 'no answer in time' } as const
        const isAway = () => isCut && runnerId === 'r1'
        return { ...api, poll: req => (isAway() ? Promise.resolve(noAnswer) : api.poll(req)) }
      },
      close: () => Promise.resolve(),
    }),
  })
  const first = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(async () => {
    machines.answerLists([])
    await dispatcher.close()
  })
  await waitUntil(() => machines.requested.length > 0)
  machines.answerLists([machine])
  first.fault = 'late'
  await fleet.submit(id, [oneTask])
  await waitUntil(() => first.delayedCalls > 0)
  isCut = true
  const second = await fleet.addRunner('r2')
  await waitUntil(() => machines.requested.length > 0)
  first.restart()
  machines.answerLists([{ ...machine, state: 'down', runnerId: undefined }])
  await pause(100)
  first.applyDelayed()
  const started = [...first.startedRuns, ...second.startedRuns]
  t.same(started, [{ task, run: 1 }], 'one run of the task')
})
