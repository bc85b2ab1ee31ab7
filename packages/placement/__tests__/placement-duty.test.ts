import t from 'tap'
import { createFixture, queue } from './fixture.js'

const longRun = { runMs: 600_000 }

void t.test('jobs run to their end within the limit of the team', async t => {
  const { acceptJob, createHolder, isInState, permitsInUse, workers, taskRows } =
    await createFixture(t)
  const ids = await Promise.all(Array.from({ length: 12 }, () => acceptJob()))
  const control = createHolder('c1')
  await control.acquireDuty()
  await control.runRoundsUntil(async () => {
    return (await Promise.all(ids.map(id => isInState(id, 'finished')))).every(Boolean)
  })
  t.equal(await permitsInUse(), 0, 'every permit is returned')
  t.same(await taskRows(), [])
  const most = workers.reduce((sum, w) => sum + (w.counters().maxRunningByTeam.lamps ?? 0), 0)
  t.ok(most <= 4, `${most} tasks ran at once`)
})

void t.test('no job starts twice when the answer to its start is lost', async t => {
  const { acceptJob, createHolder, isInState, countStarts, workers } = await createFixture(t)
  const id = await acceptJob({ idempotent: false })
  for (const { faults } of workers) faults.loseAnswers = 1
  const control = createHolder('c1')
  await control.acquireDuty()
  await control.runRoundsUntil(() => isInState(id, 'finished'))
  t.equal(countStarts(id), 1)
})

void t.test('a holder frozen past its lease starts and changes nothing', async t => {
  const { acceptJob, createHolder, isInState, countStarts, permitsInUse } = await createFixture(t)
  const frozen = createHolder('c1')
  await frozen.acquireDuty()
  const id = await acceptJob({ idempotent: false, payload: longRun })
  const next = createHolder('c2')
  await next.passTime(4_000)
  await next.acquireDuty()
  await next.runRoundsUntil(() => isInState(id, 'running'))
  // The clock of the frozen holder has not moved, so it still regards its lease as valid.
  t.ok(frozen.duty.held(), 'the frozen holder knows nothing of the takeover')
  const other = await acceptJob({ payload: longRun })
  await t.rejects(frozen.placement.round(), { message: /taken over/ })
  t.equal(countStarts(id), 1)
  t.equal(countStarts(other), 0)
  t.equal(await permitsInUse(), 1)
})

void t.test('the next holder ends the claim of a holder killed before its start call', async t => {
  const { acceptJob, createHolder, isInState, countStarts, workers, permitsInUse } =
    await createFixture(t)
  const id = await acceptJob({ idempotent: false })
  const killed = createHolder('c1')
  await killed.acquireDuty()
  for (const { faults } of workers) faults.reject = true
  // The claim is committed, no worker starts the task, and this holder runs no further round.
  await killed.placement.round()
  t.equal(await permitsInUse(), 1, 'the claim holds a permit')
  for (const { faults } of workers) faults.reject = false
  const next = createHolder('c2')
  await next.passTime(4_000)
  await next.acquireDuty()
  await next.runRoundsUntil(() => isInState(id, 'finished'))
  t.equal(countStarts(id), 1)
  t.equal(await permitsInUse(), 0)
})

void t.test('jobs survive an outage of the store and lost answers', async t => {
  const { acceptJob, createHolder, isInState, countStarts, standin, permitsInUse } =
    await createFixture(t)
  const ids = await Promise.all(Array.from({ length: 8 }, () => acceptJob({ idempotent: false })))
  const control = createHolder('c1')
  await control.acquireDuty()
  standin.faults.loseAnswers = { probability: 0.2, seed: 7 }
  await control.runRoundsUntil(async () => (await permitsInUse().catch(() => 0)) > 0)
  standin.faults.down = true
  await control.placement.round().catch(() => undefined)
  standin.faults.down = false
  standin.faults.loseAnswers = { next: 0 }
  await control.acquireDuty()
  await control.runRoundsUntil(async () => {
    return (await Promise.all(ids.map(id => isInState(id, 'finished')))).every(Boolean)
  })
  for (const id of ids) t.equal(countStarts(id), 1)
  t.equal(await permitsInUse(), 0)
})

void t.test('a job that fails on three racks is parked', async t => {
  const { acceptJob, createHolder, isInState, readJob } = await createFixture(t, { workers: 4 })
  const id = await acceptJob({ payload: { runMs: 1, fail: true } })
  const control = createHolder('c1')
  await control.acquireDuty()
  await control.runRoundsUntil(() => isInState(id, 'parked'))
  t.match((await readJob(id)).reason, /racks r\d, r\d, r\d/)
})

void t.test('a worker that fails the jobs of three teams is quarantined', async t => {
  const { acceptJob, createHolder, isInState, workers } = await createFixture(t, { workers: 5 })
  for (const { faults } of workers.slice(0, 1)) faults.failAll = true
  const teams = ['lamps', 'mills', 'stones']
  const control = createHolder('c1')
  await control.acquireDuty()
  for (let n = 0; n < 6; n++) {
    const ids = await Promise.all(
      teams.map(async team => ({ team, id: await acceptJob({ team, payload: { runMs: 1 } }) })),
    )
    await control.runRoundsUntil(async () => {
      const done = ids.map(({ id, team }) => isInState(id, 'finished', team))
      return (await Promise.all(done)).every(Boolean)
    })
  }
  const quarantines = control.decisions.filter(({ action }) => action === 'quarantine')
  t.same(
    quarantines.map(({ subject }) => subject.id),
    ['w1'],
  )
})

void t.test('cancelling all jobs of a queue stops its tasks and returns permits', async t => {
  const { acceptJob, createHolder, isInState, jobs, permitsInUse, workers } = await createFixture(t)
  const ids = await Promise.all(Array.from({ length: 10 }, () => acceptJob({ payload: longRun })))
  const control = createHolder('c1')
  await control.acquireDuty()
  await control.runRoundsUntil(async () => (await permitsInUse()) === 4)
  await jobs.cancel({ team: 'lamps', queue, all: true })
  await control.runRoundsUntil(async () => {
    return (await Promise.all(ids.map(id => isInState(id, 'cancelled')))).every(Boolean)
  })
  t.equal(await permitsInUse(), 0)
  const running = workers.flatMap(w => w.tasks()).filter(({ state }) => state === 'running')
  t.same(running, [])
})

void t.test('a job that is larger than any worker is parked at once', async t => {
  const { acceptJob, createHolder, isInState, countStarts } = await createFixture(t)
  const id = await acceptJob({ request: { cpus: 17, memoryMb: 64, accelerators: 0, runMs: 50 } })
  const control = createHolder('c1')
  await control.acquireDuty()
  await control.runRoundsUntil(() => isInState(id, 'parked'))
  t.equal(countStarts(id), 0)
})

void t.test('idempotent tasks leave a zone that is out; others are not started again', async t => {
  const { acceptJob, createHolder, isInState, zonesOut, workers, countStarts, taskRows } =
    await createFixture(t)
  const [a, b] = workers
  const once = await acceptJob({ idempotent: false, payload: longRun })
  const control = createHolder('c1')
  await control.acquireDuty()
  await control.runRoundsUntil(() => isInState(once, 'running'))
  const often = await acceptJob({ payload: longRun })
  const third = await acceptJob({ payload: longRun })
  await control.runRoundsUntil(
    async () => (await isInState(often, 'running')) && (await isInState(third, 'running')),
  )
  zonesOut.add('a')
  const stays = a?.tasks().some(({ jobId }) => jobId === once) === true
  await control.runRoundsUntil(async () => {
    const rows = await taskRows()
    const moved = rows.filter(({ idempotent }) => idempotent)
    return (
      moved.length === 2 && moved.every(({ zone, state }) => zone === 'b' && state === 'running')
    )
  })
  t.equal(countStarts(once), 1)
  t.ok(stays ? await isInState(once, 'running') : true, 'the non-idempotent job runs on')
  t.ok(b?.tasks().every(({ state }) => state === 'running'))
})

void t.test('a lost worker returns permits only after the leases have lapsed', async t => {
  const { acceptJob, createHolder, isInState, workers, countStarts, permitsInUse } =
    await createFixture(t, {
      workers: 1,
    })
  const often = await acceptJob({ payload: longRun })
  const once = await acceptJob({ idempotent: false, payload: longRun })
  const control = createHolder('c1')
  await control.acquireDuty()
  await control.runRoundsUntil(
    async () => (await isInState(often, 'running')) && (await isInState(once, 'running')),
  )
  await workers[0]?.close()
  await control.passTime(5_000)
  await control.placement.round()
  t.equal(await permitsInUse(), 2, 'the tasks may still run')
  await control.runRoundsUntil(
    async () => (await isInState(once, 'lost')) && (await isInState(often, 'queued')),
  )
  t.equal(await permitsInUse(), 0)
  t.equal(countStarts(once), 1)
})

void t.test('the margin of a learned size parks no job that fits its worker', async t => {
  const { acceptJob, createHolder, isInState } = await createFixture(t)
  const request = { cpus: 16, memoryMb: 64, accelerators: 0, runMs: 50 }
  const control = createHolder('c1')
  await control.acquireDuty()
  for (let n = 0; n < 8; n++) {
    const id = await acceptJob({ request })
    await control.runRoundsUntil(() => isInState(id, 'finished'))
  }
})
