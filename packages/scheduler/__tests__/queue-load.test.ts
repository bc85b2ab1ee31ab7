import t from 'tap'
import {
  boundLoadView,
  createRunTimeEstimator,
  decodeLoadView,
  maxLoadBytes,
  publishedEstimateMs,
  sumQueueLoads,
  type JobExecution,
  type LoadView,
  type Step,
} from '../src/index.js'
import { createJob, queue, step } from './fixture.js'

const capacity = { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 0 }

function sum(jobs: JobExecution[], changes: Partial<Parameters<typeof sumQueueLoads>[0]> = {}) {
  return sumQueueLoads({
    jobs,
    queues: new Map([[queue.name, queue]]),
    capacities: new Map([[queue.pool, [capacity]]]),
    runTimes: createRunTimeEstimator(),
    drainCores: new Map(),
    wallNow: 0,
    ...changes,
  })
}

// Guards against a view that leaves out the later steps of jobs, or counts what already runs as waiting.
void t.test('work of all waiting tasks counts, by organisation', t => {
  const steps: Step[] = [
    { ...step, count: 3 },
    { ...step, count: 2, after: [0] },
  ]
  const job = createJob('a', { steps, organisation: 'acme' })
  const task = job.task(0, 0, 0)
  if (task !== undefined) job.beginRun(task, 'r1', 0)
  const { queues } = sum([job, createJob('b'), createJob('c', { organisation: 'acme' })])
  t.match(queues, [{ name: queue.name, pool: 'pool', onTimeCoreMs: 6_000, lateCoreMs: 0 }])
  t.strictSame([...(queues[0]?.organisations ?? [])].sort(), [
    ['', 1_000, 0],
    ['acme', 5_000, 0],
  ])
  t.end()
})

// Guards against rejections because of tasks that wait for something else than processor time: a later job
// that fits starts before them.
void t.test('work that does not keep a later job waiting is left out', t => {
  const others: Partial<Step>[] = [
    { isLasting: true },
    { isFiller: true },
    { isGang: true },
    { needs: 'gpu' },
    { maxPerRunner: 1 },
    { amounts: { ...step.amounts, cpuMillis: 5_000 } },
  ]
  const jobs = others.map((change, index) =>
    createJob(`j${index}`, { steps: [{ ...step, ...change }] }),
  )
  t.strictSame(sum(jobs).queues, [])
  const advice = { decideMs: 1, eachMs: 1, validMs: 1 }
  const queues = new Map([[queue.name, { ...queue, advice }]])
  t.strictSame(sum([createJob('a')], { queues }).queues, [], 'a queue with advice')
  t.strictSame(sum([createJob('a')], { queues: new Map() }).queues, [], 'a queue that was removed')
  t.end()
})

// Guards against counting dead work: jobs that cannot end within three objectives keep nobody waiting for long.
void t.test('late work counts apart, and not at all once it is past its limit', t => {
  // The objective is 1.6 * 1,000 + 600 = 2,200 ms and the limit 6,600 ms.
  const ages = { onTime: 1_200, late: 1_201, lastLate: 5_600, dead: 5_601 }
  const at = (age: number) => sum([createJob('a')], { wallNow: age }).queues
  t.match(at(ages.onTime), [{ onTimeCoreMs: 1_000, lateCoreMs: 0 }])
  t.match(at(ages.late), [{ onTimeCoreMs: 0, lateCoreMs: 1_000 }])
  t.match(at(ages.lastLate), [{ onTimeCoreMs: 0, lateCoreMs: 1_000 }])
  t.strictSame(at(ages.dead), [])
  const job = createJob('a')
  t.strictSame(sum([job], { wallNow: 6_600 }).pastLimit, [])
  t.strictSame(sum([job], { wallNow: 6_601 }).pastLimit, [{ job, limitAt: 6_600 }])
  t.end()
})

// Guards against estimates at the hosts that differ from the dispatcher's.
void t.test('the published estimates are those of the estimator', t => {
  const runTimes = createRunTimeEstimator()
  for (let run = 0; run < 20; run++) runTimes.observe(queue.name, 650)
  const [load] = sum([createJob('a')], { runTimes }).queues
  if (load === undefined) throw new Error('no load')
  for (const declaredMs of [10, 100, 900, 20_000]) {
    const ratio =
      publishedEstimateMs(load, declaredMs) / runTimes.estimateMs(queue.name, declaredMs)
    t.ok(Math.abs(ratio - 1) < 0.01, `declared as ${declaredMs} ms`)
  }
  t.end()
})

const view = (queueCount: number, organisationCount: number, nameLength: number): LoadView => {
  const name = (kind: string, number: number) => `${kind}${number}`.padEnd(nameLength, 'é')
  const organisations = Array.from(
    { length: organisationCount },
    (_, index): [string, number, number] => [name('o', index), index + 1, index],
  )
  const amounts = organisations.map(([each, amount]): [string, number] => [each, amount])
  return {
    format: 1,
    term: 3,
    number: 1,
    at: 0,
    storeAt: null,
    hosts: 43,
    accepted: amounts,
    queues: Array.from({ length: queueCount }, (_, index) => ({
      name: name('q', index),
      pool: name('p', index),
      priority: 0,
      onTimeCoreMs: index,
      lateCoreMs: 0,
      drainCores: 1,
      runTimesMs: [100, 10_000],
      organisations,
    })),
    pools: Array.from({ length: queueCount }, (_, index) => ({
      name: name('p', index),
      cores: 1,
      expectedCores: null,
      busyCores: 1,
      running: amounts,
    })),
  }
}

// Guards against a row that the store refuses, or that takes the bandwidth of all hosts.
void t.test('the row stays under its bound, whatever the names are', t => {
  for (const [queues, organisations, length] of [
    [8, 20, 12],
    [1_000, 1_000, 10],
    [1_000, 1_000, 400],
    [1, 1_000, 2_000],
  ] as const) {
    const bounded = boundLoadView(view(queues, organisations, length))
    t.ok(Buffer.byteLength(JSON.stringify(bounded)) <= maxLoadBytes)
    t.strictSame(decodeLoadView(JSON.parse(JSON.stringify(bounded))), bounded, 'it is decodable')
  }
  const usual = boundLoadView(view(8, 20, 12))
  t.equal(usual.queues.length, 8, 'the row of a usual deployment is complete')
  t.equal(usual.queues[0]?.organisations.length, 20)
  const many = boundLoadView(view(100, 2, 5))
  t.equal(many.queues[0]?.onTimeCoreMs, 99, 'the longest queues are kept')
  t.end()
})

// Guards against an entry host that fails on a row of another writer.
void t.test('a malformed row is not decoded', t => {
  const good = view(1, 1, 3)
  t.ok(decodeLoadView(good))
  for (const bad of [
    undefined,
    null,
    'x',
    {},
    { ...good, format: 2 },
    { ...good, term: '3' },
    { ...good, queues: [{}] },
    { ...good, hosts: 0 },
    { ...good, pools: [{ ...good.pools[0], expectedCores: -1 }] },
    { ...good, accepted: [['a', Number.NaN]] },
  ])
    t.equal(decodeLoadView(bad), undefined)
  t.end()
})
