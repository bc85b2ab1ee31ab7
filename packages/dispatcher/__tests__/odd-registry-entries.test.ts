import { createRelayedRunners, relaysTable } from '@bulrushbridge/runner-relay'
import { partOf, type RunnerEntry } from '@bulrushbridge/scheduler'
import { createMemoryRunner, waitUntil } from '@bulrushbridge/standins'
import { createLogger } from '@bulrushbridge/telemetry'
import t from 'tap'
import { createFleet, oneTask, queueName } from './fixture.js'

const id = '00000000000000e1'
const task = `${id}.0.0.0`

const log = createLogger({ program: 'test', level: 'silent' })

// Guards against an announcement of another writer that ends the process of each holder of the lease
// in turn: an error in the loop that polls a runner is an unhandled rejection.
void t.test('work goes on beside a relay announced with a port out of range', async t => {
  const fleet = createFleet({
    connectRunners: ({ store, runners }) =>
      createRelayedRunners({
        store,
        host: 'host-1',
        startsPerSecond: 1,
        createRunner: ({ runnerId }) => (runners.get(runnerId) ?? createMemoryRunner()).api(),
        log,
      }),
  })
  const relay = { address: '10.0.0.1:99999', instance: 'odd', zone: 'zone-a', startsPerSecond: 9 }
  await fleet.store.commit({
    checks: [],
    writes: [{ table: relaysTable, key: 'host-3', value: relay }],
  })
  const runner = await fleet.addRunner('r1')
  await fleet.submit(id, [oneTask])
  const dispatcher = fleet.start('host-1')
  await waitUntil(() => runner.running.has(task))
  runner.end(task, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  await dispatcher.close()
  t.equal(runner.startedRuns.length, 1)
})

// Guards against a registry that is no longer followed because of one entry: the runners that
// register after it got no work.
void t.test('a runner gets work beside an entry whose decoding throws', async t => {
  const fleet = createFleet({
    decodeRunner: value => {
      if (value === 'odd') throw new RangeError('Maximum call stack size exceeded')
      return value as RunnerEntry
    },
  })
  const dispatcher = fleet.start('host-1')
  await waitUntil(() => dispatcher.isHolder)
  await fleet.store.commit({
    checks: [],
    writes: [{ table: 'servers', key: 'odd', value: 'odd' }],
  })
  const runner = await fleet.addRunner('r1')
  await fleet.submit(id, [oneTask])
  await waitUntil(() => runner.running.has(task))
  await dispatcher.close()
  t.equal(runner.startedRuns.length, 1)
})

// Guards against a stored job of another writer that takes all memory of each dispatcher in turn, or
// runs the tasks of another job a second time.
void t.test('an odd row among the jobs starts nothing and delays no other job', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const oddId = '00000000000000e2'
  const part = partOf(oddId)
  const job = { queue: queueName, payload: '', steps: [oneTask], acceptedAt: Date.now() }
  const negative = { cpuMillis: -1, memoryMb: 1, accelerators: 0 }
  const oddJobs = {
    '1': { ...job, id: '1', steps: [{ ...oneTask, count: 2 ** 40 }] },
    '2': { ...job, id: '2', steps: [{ ...oneTask, amounts: negative }] },
    [oddId]: { ...job, id: 'other' },
  }
  const writes = Object.entries(oddJobs).map(([key, value]) => ({ table: 'jobs', key, value }))
  await fleet.store.commit({ checks: [], writes }, { part })
  await fleet.submit(id, [oneTask])
  const dispatcher = fleet.start('host-1')
  await waitUntil(() => runner.running.has(task))
  await new Promise(resolve => setTimeout(resolve, 300))
  t.strictSame([...runner.running.keys()], [task])
  await dispatcher.close()
})
