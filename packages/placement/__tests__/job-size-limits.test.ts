import t from 'tap'
import { RequestError } from '@bulrushbridge/errors'
import { hostsTable, workerKey } from '@bulrushbridge/host'
import { createJobService } from '@bulrushbridge/jobs'
import { createFixture, queue } from './fixture.js'
import { estimateWaits } from '../src/estimate-waits.js'

const small = { cpus: 1, memoryMb: 64, accelerators: 0, runMs: 50 }
const large = { ...small, cpus: 17 }

const tooLarge = { kind: 'job-too-large', outcome: 'not-run' }

/** Error kind and outcome of a refused job; undefined when the job was accepted. */
async function refusalOf(accepting: Promise<string>) {
  try {
    await accepting
    return undefined
  } catch (err) {
    if (!(err instanceof RequestError)) throw err
    return { kind: err.kind, outcome: err.outcome }
  }
}

/** Creates a pool whose holder writes the summary, and entry hosts without cached summaries. */
async function summarisedPool(t: Parameters<typeof createFixture>[0]) {
  const fixture = await createFixture(t)
  const control = fixture.createHolder('c1')
  await control.acquireDuty()
  let wallNow = 0
  const wallClock = () => control.clock.now() + wallNow
  const { table } = fixture
  const createEntryJobs = () =>
    createJobService({ table, member: 'e2', clock: { now: () => performance.now() }, wallClock })
  const job = { team: 'lamps', queue, pool: 'batch', idempotent: true, urgent: false, payload: {} }
  const advanceWallClock = (ms: number) => {
    wallNow += ms
  }
  return { ...fixture, control, createEntryJobs, job, advanceWallClock }
}

void t.test('a job that fits on no worker is refused at acceptance', async t => {
  const { control, createEntryJobs, job, jobs } = await summarisedPool(t)
  const unknown = createEntryJobs()
  t.ok(await unknown.accept({ ...job, request: large }), 'without a summary it is accepted')
  await control.placement.round()
  const known = createEntryJobs()
  t.same(await refusalOf(known.accept({ ...job, request: large })), tooLarge)
  t.same(
    await refusalOf(known.accept({ ...job, request: { ...small, accelerators: 1 } })),
    tooLarge,
  )
  t.ok(await known.accept({ ...job, request: small }))
  const { jobs: listed } = await jobs.list({ team: 'lamps', queue, limit: 10 })
  t.equal(listed.length, 2, 'the refused ones are not stored')
})

// A refusal says that the job did not run, which may be false for a job accepted earlier, while the
// pool had larger workers.
void t.test('a repeated request for an accepted job is not refused for its size', async t => {
  const { control, createEntryJobs, job } = await summarisedPool(t)
  const keyed = { ...job, request: large, idempotencyKey: 'k1' }
  const id = await createEntryJobs().accept(keyed)
  await control.placement.round()
  t.equal(await createEntryJobs().accept(keyed), id)
  t.same(await refusalOf(createEntryJobs().accept({ ...keyed, idempotencyKey: 'k2' })), tooLarge)
})

void t.test('an expired summary and a failing store refuse no job for its size', async t => {
  const { control, createEntryJobs, job, advanceWallClock, standin } = await summarisedPool(t)
  await control.placement.round()
  advanceWallClock(200_000)
  t.ok(await createEntryJobs().accept({ ...job, request: large }))
  standin.faults.down = true
  const deadline = performance.now() + 300
  const refused = await refusalOf(createEntryJobs().accept({ ...job, request: large, deadline }))
  standin.faults.down = false
  t.equal(refused?.kind, 'store-unavailable')
})

// A worker in maintenance has no row, so jobs that only fit on it must wait for its return.
void t.test('a large worker that left a short time ago still counts', async t => {
  const { acceptJob, control, isInState, createHolder, table } = await summarisedPool(t)
  const key = workerKey('batch', 'w9')
  const value = { id: 'w9', pool: 'batch', rack: 'r9', zone: 'a', address: '127.0.0.9:1' }
  const big = { ...value, cpus: 64, memoryMb: 65_536, accelerators: 0 }
  await table.commit({ checks: [], writes: [{ table: hostsTable, key, value: big }] })
  await control.placement.round()
  await table.commit({ checks: [], writes: [{ table: hostsTable, key, value: null }] })
  await control.duty.close()
  const next = createHolder('c2')
  await next.acquireDuty()
  await next.placement.round()
  const id = await acceptJob({ request: large })
  for (let n = 0; n < 20; n++) {
    await next.passTime(250)
    await next.placement.round()
  }
  t.ok(await isInState(id, 'queued'), 'a new holder knows the size as well')
  next.clock.advance(3_700_000)
  await next.acquireDuty()
  await next.runRoundsUntil(() => isInState(id, 'parked'))
})

void t.test('jobs of a kind that uses more than any worker has are parked', async t => {
  const { acceptJob, control, isInState, readJob, table, workers } = await summarisedPool(t)
  const estimate = { mean: 99_000, variance: 0 }
  const used = { mean: 1, variance: 0 }
  const estimates = { cpus: used, memoryMb: estimate, accelerators: used, runMs: used }
  const value = {
    sizes: [['solver', { count: 5, estimates }]],
    blame: { failures: {}, quarantine: {} },
  }
  const write = { table: 'placement-learned', key: 'batch', value }
  await table.commit({ checks: [], writes: [write] })
  const id = await acceptJob({ kind: 'solver' })
  await control.runRoundsUntil(() => isInState(id, 'parked'))
  t.match((await readJob(id)).reason, /solver use more than any worker/)
  t.same(
    workers.flatMap(worker => worker.tasks()),
    [],
  )
})

void t.test('a wait is estimated from learned run times and the share of the team', t => {
  const jobs = Array.from({ length: 8 }, (_, n) => ({
    id: `j${n}`,
    team: 'lamps',
    queue,
    idempotent: true,
    urgent: false,
    request: { ...small, runMs: 1 },
    kind: 'plan',
    acceptedAt: 0,
  }))
  const state = {
    jobs,
    runningTeams: ['mills'],
    shares: new Map(),
    capacity: { cpus: 4, memoryMb: 4_096, accelerators: 0 },
    sizeOf: () => small,
    runMsOf: () => 1_000,
  }
  // Eight jobs of 1 s on half of four CPUs.
  t.equal(estimateWaits(state).get('lamps'), 4_000)
  t.equal(estimateWaits({ ...state, runningTeams: [] }).get('lamps'), 2_000)
  t.equal(estimateWaits({ ...state, runMsOf: () => undefined }).get('lamps'), 4)
  t.end()
})

void t.test('entry hosts report the expected wait of a team', async t => {
  const { acceptJob, control, createEntryJobs } = await summarisedPool(t)
  t.equal(await createEntryJobs().expectedWaitMs({ team: 'lamps', pool: 'batch' }), undefined)
  for (let n = 0; n < 8; n++) await acceptJob({ payload: { runMs: 600_000 } })
  await control.placement.round()
  const jobs = createEntryJobs()
  t.ok(((await jobs.expectedWaitMs({ team: 'lamps', pool: 'batch' })) ?? 0) > 0)
  t.equal(await jobs.expectedWaitMs({ team: 'mills', pool: 'batch' }), 0)
})
