import t from 'tap'
import { createFixture } from './fixture.js'

const longRun = { runMs: 600_000 }
const twoCpus = { cpus: 2, memoryMb: 64, accelerators: 0, runMs: 50 }

/** Creates a pool with two workers that four tasks of the team `lamps` fill. */
async function fullPool(
  t: Parameters<typeof createFixture>[0],
  { payload = longRun, idempotent = true }: { payload?: unknown; idempotent?: boolean } = {},
) {
  const fixture = await createFixture(t, { cpus: 4, limit: 20 })
  const { acceptJob, createHolder, permitsInUse } = fixture
  const lampsJobs = []
  for (let n = 0; n < 4; n++) {
    lampsJobs.push(await acceptJob({ request: twoCpus, payload, idempotent }))
  }
  const control = createHolder('c1')
  await control.acquireDuty()
  await control.runRoundsUntil(async () => (await permitsInUse()) === 4)
  const running = () => {
    const tasks = fixture.workers.flatMap(worker => worker.tasks())
    return tasks.filter(({ state }) => state === 'running')
  }
  await control.runRoundsUntil(() => running().length === 4)
  /** Runs rounds until the condition holds; returns the time on the holder's clock in ms. */
  const measureUntil = async (condition: () => boolean | Promise<boolean>) => {
    const begin = control.clock.now()
    await control.runRoundsUntil(condition)
    return control.clock.now() - begin
  }
  return { ...fixture, control, lampsJobs, running, measureUntil }
}

void t.test('an urgent job of a team below its share reclaims capacity at once', async t => {
  const { acceptJob, control, isInState, countStarts, measureUntil, permitsInUse } =
    await fullPool(t)
  const urgent = await acceptJob({
    team: 'mills',
    urgent: true,
    request: twoCpus,
    payload: longRun,
  })
  const ms = await measureUntil(() => isInState(urgent, 'running', 'mills'))
  t.ok(ms < 2_000, `${ms} ms`)
  t.equal(countStarts(urgent), 1)
  const actions = control.decisions.filter(({ rule }) => rule === 'share-reclaim')
  t.same(
    actions.map(({ action }) => action),
    ['throttle', 'checkpoint-and-stop'],
  )
  t.equal(await permitsInUse(), 3)
  t.equal(await permitsInUse('mills'), 1)
})

void t.test('other jobs reclaim capacity after 2 s; stopped tasks are resumed', async t => {
  const { acceptJob, isInState, readJob, lampsJobs, measureUntil, control, jobs } =
    await fullPool(t)
  const waiting = await acceptJob({ team: 'mills', request: twoCpus, payload: longRun })
  const ms = await measureUntil(() => isInState(waiting, 'running', 'mills'))
  t.ok(ms >= 3_000 && ms < 6_000, `${ms} ms with 2 s of patience and 1 s of throttling`)
  const queued = []
  for (const id of lampsJobs) if (await isInState(id, 'queued')) queued.push(id)
  t.equal(queued.length, 1, 'one task made enough room')
  const [id = ''] = queued
  const { checkpoint, workerLosses } = await readJob(id)
  t.match(checkpoint, { ranMs: Number })
  t.equal(workerLosses, undefined, 'an ordered stop is no loss of a worker')
  await jobs.cancel({ team: 'mills', ids: [waiting] })
  await control.runRoundsUntil(() => isInState(id, 'running'))
})

void t.test('a requeued task does not take the reclaimed capacity', async t => {
  const { acceptJob, control, isInState, measureUntil, lampsJobs, countStarts } = await fullPool(t)
  const ids: string[] = []
  for (let n = 0; n < 4; n++) {
    ids.push(await acceptJob({ team: 'mills', urgent: true, request: twoCpus, payload: longRun }))
  }
  const two = async () => {
    const states = await Promise.all(ids.map(id => isInState(id, 'running', 'mills')))
    return states.filter(Boolean).length >= 2
  }
  await measureUntil(two)
  const count = () => [...ids, ...lampsJobs].reduce((sum, id) => sum + countStarts(id), 0)
  const before = count()
  for (let n = 0; n < 60; n++) {
    await control.passTime(250)
    await control.placement.round()
  }
  t.equal(before, 6, 'four starts of the first team and two of the second')
  t.equal(count(), before, 'nothing more is reclaimed once each team has half of the pool')
})

void t.test('non-idempotent tasks and tasks without checkpoints are not stopped', async t => {
  for (const kind of [{ idempotent: false }, { payload: { ...longRun, saves: false } }]) {
    const { acceptJob, control, isInState, lampsJobs, countStarts, permitsInUse } = await fullPool(
      t,
      kind,
    )
    const urgent = await acceptJob({ team: 'mills', urgent: true, request: twoCpus })
    for (let n = 0; n < 30; n++) {
      await control.passTime(250)
      await control.placement.round()
    }
    t.ok(await isInState(urgent, 'queued', 'mills'))
    for (const id of lampsJobs) t.ok(await isInState(id, 'running'))
    for (const id of lampsJobs) t.equal(countStarts(id), 1)
    t.equal(await permitsInUse(), 4)
  }
})

void t.test('throttling ends when the waiting job is cancelled', async t => {
  const { acceptJob, control, jobs, running, isInState } = await fullPool(t)
  const waiting = await acceptJob({ team: 'mills', request: twoCpus })
  await control.runRoundsUntil(() => running().some(({ throttled }) => throttled))
  await jobs.cancel({ team: 'mills', ids: [waiting] })
  await control.runRoundsUntil(() => running().every(({ throttled }) => !throttled))
  t.equal(running().length, 4)
  t.ok(await isInState(waiting, 'cancelled', 'mills'))
})

void t.test('a team at its upper limit reclaims nothing and blocks no other team', async t => {
  const { acceptJob, control, isInState, lampsJobs, permitsInUse, countStarts } = await fullPool(t)
  const full = await acceptJob({ team: 'mills', urgent: true, request: twoCpus })
  control.permits.configure({ version: 2, limits: new Map([['lamps', 20]]) })
  for (let n = 0; n < 20; n++) {
    await control.passTime(250)
    await control.placement.round()
  }
  t.ok(await isInState(full, 'queued', 'mills'))
  for (const id of lampsJobs) t.ok(await isInState(id, 'running'))
  for (const id of lampsJobs) t.equal(countStarts(id), 1, 'no task was stopped in vain')
  t.equal(await permitsInUse(), 4)
})

void t.test('capacity that a team at its limit cannot use goes to other teams', async t => {
  const { acceptJob, createHolder, permitsInUse } = await createFixture(t, { cpus: 4, limit: 20 })
  const control = createHolder('c1')
  const limits = new Map([
    ['lamps', 20],
    ['mills', 1],
  ])
  control.permits.configure({ version: 2, limits })
  for (let n = 0; n < 6; n++) {
    await acceptJob({ request: twoCpus, payload: longRun })
    await acceptJob({ team: 'mills', request: twoCpus, payload: longRun })
  }
  await control.acquireDuty()
  await control.runRoundsUntil(async () => (await permitsInUse()) === 3)
  t.equal(await permitsInUse('mills'), 1)
})

void t.test('reclaimed capacity is not taken by the team that lost it', async t => {
  const { acceptJob, createHolder, isInState, countStarts } = await createFixture(t, {
    cpus: 4,
    limit: 20,
    shares: { mills: 3 },
  })
  const control = createHolder('c1')
  await control.acquireDuty()
  const large = await acceptJob({ request: { ...twoCpus, cpus: 4 }, payload: longRun })
  await control.runRoundsUntil(() => isInState(large, 'running'))
  for (let n = 0; n < 3; n++) {
    const id = await acceptJob({
      team: 'mills',
      request: { ...twoCpus, cpus: 1 },
      payload: longRun,
    })
    await control.runRoundsUntil(() => isInState(id, 'running', 'mills'))
  }
  const urgent = await acceptJob({
    team: 'mills',
    urgent: true,
    request: twoCpus,
    payload: longRun,
  })
  await control.runRoundsUntil(() => isInState(urgent, 'running', 'mills'))
  t.equal(countStarts(large), 1, 'it was not started again in the capacity reclaimed from it')
})

void t.test('teams above their share start nothing while a team below its share waits', async t => {
  const { acceptJob, control, isInState, lampsJobs, jobs } = await fullPool(t)
  const more = await acceptJob({ request: { ...twoCpus, cpus: 1 }, payload: longRun })
  const waiting = await acceptJob({ team: 'mills', request: { ...twoCpus, cpus: 4 } })
  await control.placement.round()
  await jobs.cancel({ team: 'lamps', ids: lampsJobs.slice(0, 1) })
  await control.runRoundsUntil(() => isInState(lampsJobs[0] ?? '', 'cancelled'))
  await control.placement.round()
  t.ok(await isInState(more, 'queued'), 'the freed capacity is left for the waiting team')
  await control.runRoundsUntil(() => isInState(waiting, 'finished', 'mills'))
})
