import {
  createRunTimeEstimator,
  decodeLoadView,
  JobExecution,
  loadKey,
  loadTable,
  type JobQueue,
  type LoadView,
  type Machine,
  type Step,
} from '@bulrushbridge/scheduler'
import { createMemoryStore, waitUntil } from '@bulrushbridge/standins'
import { createLogger, createMetrics } from '@bulrushbridge/telemetry'
import t from 'tap'
import { createAllocation } from '../src/allocation.js'
import { createLoadPublisher, type LoadPublisherOptions } from '../src/load-publisher.js'
import { sumPoolCores, type CountedSession } from '../src/pool-cores.js'
import { createRunningMeans } from '../src/running-means.js'
import { createFleet, oneTask, queueName } from './fixture.js'

const capacity = { cpuMillis: 4_000, memoryMb: 4_000, accelerators: 0 }

const queue: JobQueue = {
  name: queueName,
  hostName: 'finder.example',
  pathPrefix: '/finder/',
  pool: 'pool',
  priority: 0,
  maxAttempts: 2,
  stretch: 1,
  targetLatencyMs: 500,
  isAnonymousAllowed: true,
  advice: undefined,
}

function createJob(id: string, step: Partial<Step> = {}, acceptedAt = 0): JobExecution {
  const steps = [{ ...oneTask, ...step }]
  const job = new JobExecution({ id, queue: queueName, payload: '', steps, acceptedAt })
  job.openDueOccurrences(0)
  return job
}

/** A publisher on a store in memory, with a clock that is moved by hand. */
async function setup(changes: Partial<LoadPublisherOptions> = {}) {
  const store = createMemoryStore()
  const fence = { table: 'fences', key: 'dispatch', value: 1 }
  await store.commit({ checks: [], writes: [fence] })
  const clock = { now: 10_000 }
  const metrics = createMetrics()
  const jobs = new Map<string, JobExecution>()
  const publisher = createLoadPublisher({
    store,
    leaseCheck: { table: 'fences', key: 'dispatch', version: 1 },
    fence: 7,
    view: {
      configuration: () => undefined,
      organisationOf: () => undefined,
      withdrawnZones: () => new Set(),
      waves: () => [],
      applySnapshot: () => undefined,
      applyChanges: () => undefined,
      onChange: () => () => undefined,
    },
    sessions: new Map(),
    jobs,
    runTimes: createRunTimeEstimator(),
    hasMachines: false,
    hostCount: () => 3,
    log: createLogger({ program: 'test', level: 'silent' }),
    metrics,
    now: () => clock.now,
    wallNow: () => clock.now,
    ...changes,
  })
  const read = async () => {
    const row = await store.read(loadTable, loadKey)
    return row === undefined ? undefined : decodeLoadView(row.value)
  }
  const pass = async (waiting: readonly JobExecution[]) => {
    for (const job of waiting) jobs.set(job.definition.id, job)
    const steps = waiting.flatMap(job => job.startableSteps())
    const runner = { id: 'r1', pool: 'pool', capacity, free: capacity, rack: '', labels: [] }
    const counts = {
      finiteTasks: 0,
      servingTasks: 0,
      fillerTasks: 0,
      suspicion: 0,
      unconfirmedRuns: 0,
    }
    const flags = { isExclusive: false, isLent: false }
    const runners = [{ ...runner, ...counts, ...flags, tasksByStep: new Map<string, number>() }]
    publisher.notePass({ steps, starts: [], queues: new Map([[queueName, queue]]), runners })
    await publisher.close()
  }
  return { store, fence, clock, metrics, publisher, pass, read }
}

// Guards against a load on the store, by the dispatcher and by all hosts that follow the row, while nothing waits.
void t.test('the row is written at the stated rate, and not while nothing waits', async t => {
  const { store, clock, pass, read } = await setup()
  const before = store.commitCalls
  const commits = () => store.commitCalls - before
  await pass([])
  t.equal(commits(), 1, 'one row shows that a new term has begun')
  t.match(await read(), { term: 7, number: 1, at: 10_000, hosts: 3, queues: [] })
  for (let ms = 0; ms < 60_000; ms += 100) {
    clock.now += 100
    await pass([])
  }
  t.equal(commits(), 1)
  const job = createJob('a', {}, clock.now)
  for (let ms = 0; ms < 1_000; ms += 10) {
    clock.now += 10
    await pass([job])
  }
  t.equal(commits(), 5, 'one every 250 ms')
  t.match(await read(), { queues: [{ name: queueName, pool: 'pool' }] })
  clock.now += 250
  await pass([])
  t.equal(commits(), 6, 'the last row shows that nothing waits any more')
  t.match(await read(), { queues: [] })
  clock.now += 10_000
  await pass([])
  t.equal(commits(), 6)
})

// Guards against a deposed dispatcher that replaces the row of its successor.
void t.test('a row is written only under the lease, and again after a failure', async t => {
  const { store, fence, clock, pass, read, metrics } = await setup()
  store.fault = 'refuse'
  await pass([])
  clock.now += 250
  store.fault = 'none'
  await pass([])
  t.match(await read(), { number: 2 }, 'the failed publication is repeated')
  await store.commit({ checks: [], writes: [fence] })
  clock.now += 250
  await pass([createJob('a', {}, clock.now)])
  t.match(await read(), { number: 2, queues: [] }, 'another dispatcher has taken over')
  t.match(metrics.render(), /bulrush_load_views_total\{result="fenced"\} 1/)
})

// Guards against an age that depends on the clocks of two hosts, which differ.
void t.test('the row tells the time of the store, as of its last answer', async t => {
  const { store, clock, pass, read } = await setup()
  const commit = store.commit.bind(store)
  store.commit = async (tx, opts) => {
    const result = await commit(tx, opts)
    return result.committed ? { ...result, serviceTimeMs: clock.now - 9_000 } : result
  }
  await pass([])
  t.match(await read(), { storeAt: null })
  clock.now += 250
  await pass([createJob('a', {}, clock.now)])
  t.match(await read(), { storeAt: 1_250 })
})

// Guards against jobs that were accepted although they could not be done in time, and that nobody counts.
void t.test(
  'a job that waits past its limit is counted once, in the term in which that happened',
  async t => {
    const { clock, pass, metrics } = await setup()
    // The objective is 600 ms, the limit 1,800 ms.
    const job = createJob('a', {}, clock.now)
    const earlier = createJob('b', {}, clock.now - 5_000)
    for (let ms = 0; ms <= 3_000; ms += 300) {
      await pass([job, earlier])
      clock.now += 300
    }
    t.match(metrics.render(), /bulrush_jobs_accepted_too_late_total\{queue="finder"\} 1\n/)
  },
)

const session = (
  id: string,
  pool: string,
  steps: readonly Partial<Step>[] = [],
): CountedSession => ({
  id,
  entry: { pool, capacity },
  isRegistered: true,
  allocations: new Map(
    steps.map((step, index) => {
      const task = createJob(`${id}-${index}`, step).task(0, 0, 0)
      return [`${id}-${index}`, createAllocation(task, 0)]
    }),
  ),
})

const machine = (id: string, pool: string, changes: Partial<Machine> = {}): Machine => ({
  id,
  pool,
  state: 'up',
  zone: 'zone-a',
  labels: [],
  capacity,
  runnerId: id,
  ...changes,
})

// Guards against rejections while spare machines, or idle ones of other pools, can still join the pool.
void t.test('the cores of a pool include all machines that it can get', t => {
  const sessions = [
    session('r1', 'pool', [{}, {}]),
    session('r2', 'pool', [{ isLasting: true }]),
    session('r3', 'other', [{}]),
    session('r4', 'other'),
  ]
  const input = {
    sessions,
    availableRunners: new Set(['r1', 'r3', 'r4']),
    sparePools: new Set(['spare']),
  }
  const machines = [
    machine('r1', 'pool'),
    machine('r2', 'pool'),
    machine('r3', 'other'),
    machine('r4', 'other'),
    machine('s1', 'spare', { runnerId: undefined }),
    machine('m1', 'other', { state: 'moving', runnerId: undefined }),
    machine('d1', 'pool', { state: 'down' }),
    machine('u1', 'pool', { state: 'upkeep', runnerId: undefined }),
  ]
  const [pool] = sumPoolCores({ ...input, machines })
  t.strictSame(pool, {
    name: 'pool',
    cores: 3,
    // Three of its own, an idle one, a spare one and one on its way, without the core of the lasting task.
    expectedCores: 23,
    busyCores: 2,
    running: [['', 2]],
  })
  t.equal(sumPoolCores({ ...input, machines: undefined })[0]?.expectedCores, null)
  t.equal(sumPoolCores({ ...input, machines: 'none' })[0]?.expectedCores, 7)
  t.end()
})

// Guards against an organisation that counts as under its share whenever one of its runs ends.
void t.test('the cores in use are means over the last seconds', t => {
  const means = createRunningMeans()
  const pool = { name: 'pool', cores: 10, expectedCores: 10 }
  const at = (now: number, running: [string, number][]) =>
    means.apply([{ ...pool, busyCores: 10, running }], now)[0]
  t.match(at(0, [['a', 8]]), { busyCores: 8, running: [['a', 8]] }, 'the first value counts alone')
  const changed = at(200, [
    ['a', 6],
    ['b', 4],
  ])
  const [[, a] = ['', 0], [, b] = ['', 0]] = changed?.running ?? []
  t.ok(a > 7.5 && a < 8)
  t.ok(b > 0.2 && b < 0.5)
  t.match(at(60_000, [['b', 4]]), { busyCores: 4, running: [['b', 4]] }, 'old values are forgotten')
  t.end()
})

// Guards against a list of machines that is too old to show what a pool can get.
void t.test('without a recent list of machines the expected cores are not known', async t => {
  const sessions = new Map([['r1', session('r1', 'pool', [{}])]])
  const { clock, pass, publisher, read } = await setup({ hasMachines: true, sessions })
  const expected = async (
    id: string,
  ): Promise<LoadView['pools'][0]['expectedCores'] | undefined> => {
    clock.now += 250
    await pass([createJob(id, {}, clock.now)])
    return (await read())?.pools[0]?.expectedCores
  }
  t.equal(await expected('a'), null)
  publisher.noteMachines([machine('r1', 'pool'), machine('r2', 'pool')])
  t.equal(await expected('b'), 8)
  clock.now += 3_000
  t.equal(await expected('c'), null)
})

// Guards against a publisher that no placement pass calls: a whole dispatcher must publish what waits.
void t.test('a dispatcher publishes the work that finds no room', async t => {
  const fleet = createFleet()
  await fleet.addRunner('r1')
  const dispatcher = fleet.start('front-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit('a', [{ ...oneTask, count: 20 }], 'acme')
  let view: LoadView | undefined
  await waitUntil(async () => {
    const row = await fleet.store.read(loadTable, loadKey)
    view = decodeLoadView(row?.value)
    return (view?.queues.length ?? 0) > 0
  })
  t.match(view?.queues, [{ name: queueName, organisations: [['acme', Number, Number]] }])
  t.match(view?.pools, [{ name: 'pool', cores: 4, expectedCores: 4 }])
})
