import t from 'tap'
import { createWorkerClient } from '@bulrushbridge/host'
import { createWorkerStandin } from '@bulrushbridge/standins'
import { createFixture } from './fixture.js'

const longRun = { runMs: 600_000 }

void t.test('the leases of all tasks of a worker are renewed by one call', async t => {
  const { acceptJob, createHolder, workers } = await createFixture(t, { workers: 1, limit: 20 })
  const [worker] = workers
  for (let n = 0; n < 8; n++) await acceptJob({ payload: longRun })
  const control = createHolder('c1')
  await control.acquireDuty()
  await control.runRoundsUntil(() => worker?.tasks().length === 8)
  const calls = () => worker?.counters().renewalCalls ?? 0
  const before = calls()
  const begin = control.clock.now()
  for (let n = 0; n < 60; n++) {
    await control.passTime(250)
    await control.placement.round()
  }
  const passed = control.clock.now() - begin
  const made = calls() - before
  t.ok(made >= 3 && made <= passed / 3_000 + 1, `${made} calls in ${passed} ms for 8 tasks`)
  t.ok(worker?.tasks().every(({ state }) => state === 'running'))
})

// If a lease counted from the arrival of the call, a worker that was frozen would prolong it.
void t.test('a renewal that arrives late does not prolong a lease', async t => {
  const worker = await createWorkerStandin({ id: 'w1', rack: 'r1', zone: 'a' })
  t.teardown(() => worker.close())
  const clock = { now: () => performance.now() }
  const client = createWorkerClient({ address: worker.address, clock })
  t.teardown(() => client.close())
  const soon = () => clock.now() + 2_000
  const size = { cpus: 1, memoryMb: 1, accelerators: 0 }
  const { boot } = await client.clock(soon())
  const fields = { boot, startBefore: Number.MAX_SAFE_INTEGER }
  const task = { ...fields, jobId: 'j', team: 'lamps', fencingToken: 1, payload: longRun, ...size }
  await client.start({ ...task, taskId: 't1', leaseDeadlineMs: 60_000 }, soon())
  await client.start({ ...task, taskId: 't2', leaseDeadlineMs: 100 }, soon())
  await client.start({ ...task, taskId: 't3', leaseDeadlineMs: 400 }, soon())
  const { now } = await client.list(soon())
  worker.faults.freeze = true
  const lease = { taskIds: ['t1', 't2', 't3', 't4'], until: now + 150, fencingToken: 1 }
  const late = client.renew(lease, soon())
  await new Promise(resolve => setTimeout(resolve, 250))
  worker.faults.freeze = false
  t.same(await late, ['t1', 't3'])
  await new Promise(resolve => setTimeout(resolve, 400))
  const { tasks } = await client.list(soon())
  t.same(
    tasks.map(({ taskId, state }) => [taskId, state]),
    [
      ['t1', 'running'],
      ['t2', 'lapsed'],
      ['t3', 'lapsed'],
    ],
  )
  await t.rejects(client.renew({ ...lease, fencingToken: 0 }, soon()), { name: 'WorkerError' })
})

// A lost answer to a renewal must not return the permits of tasks that still run.
void t.test('a renewal without an answer counts as successful', async t => {
  const { acceptJob, createHolder, isInState, permitsInUse, workers } = await createFixture(t, {
    workers: 1,
  })
  const [worker] = workers
  if (worker === undefined) return
  const id = await acceptJob({ idempotent: false, payload: longRun })
  const control = createHolder('c1')
  await control.acquireDuty()
  await control.runRoundsUntil(() => isInState(id, 'running'))
  const calls = worker.counters().renewalCalls
  await control.runRoundsUntil(() => worker.counters().renewalCalls > calls)
  const begin = control.clock.now()
  // The worker answers the list call but not the renewal, and cannot be reached afterwards.
  await control.passTime(2_750)
  const renewed = worker.counters().renewalCalls
  worker.faults.loseRenewals = 1
  await control.runRoundsUntil(() => worker.counters().renewalCalls > renewed)
  const lostAt = control.clock.now()
  t.ok(lostAt - begin < 8_000)
  worker.faults.cut = true
  await control.runRoundsUntil(() => control.clock.now() >= lostAt + 10_500)
  t.equal(await permitsInUse(), 1, 'the task may run for 10 s after the renewal')
  await control.runRoundsUntil(() => isInState(id, 'lost'))
  t.equal(await permitsInUse(), 0)
})

// The lease must end the task, because the host list may never show that its worker has failed;
// otherwise the task would keep its permit forever.
void t.test('an unanswered start on a lost worker ends and runs at most once', async t => {
  const { acceptJob, createHolder, isInState, permitsInUse, workers, countStarts } =
    await createFixture(t, {
      workers: 1,
    })
  const [worker] = workers
  if (worker === undefined) return
  const control = createHolder('c1')
  await control.acquireDuty()
  const once = await acceptJob({ idempotent: false, payload: longRun })
  const often = await acceptJob({ payload: longRun })
  // The worker answers the clock call but not the starts, and no call afterwards.
  worker.faults.loseStarts = 2
  await control.runRoundsUntil(() => worker.faults.loseStarts === 0 || countStarts(once) > 0)
  worker.faults.cut = true
  const begin = control.clock.now()
  await control.runRoundsUntil(() => control.clock.now() >= begin + 16_000)
  t.equal(await permitsInUse(), 2, 'the tasks may run until their leases end')
  await control.runRoundsUntil(
    async () => (await isInState(once, 'lost')) && (await isInState(often, 'queued')),
  )
  t.equal(await permitsInUse(), 0)
  t.equal(countStarts(once), 1)
})

void t.test('a worker refuses a start call that is late or names another boot', async t => {
  const worker = await createWorkerStandin({ id: 'w1', rack: 'r1', zone: 'a' })
  t.teardown(() => worker.close())
  const clock = { now: () => performance.now() }
  const client = createWorkerClient({ address: worker.address, clock })
  t.teardown(() => client.close())
  const soon = () => clock.now() + 2_000
  const { now, boot } = await client.clock(soon())
  const size = { cpus: 1, memoryMb: 1, accelerators: 0 }
  const lease = { fencingToken: 1, leaseDeadlineMs: 60_000, payload: longRun }
  const task = { ...size, ...lease, boot, jobId: 'j', team: 'lamps', startBefore: now + 50 }
  worker.faults.freeze = true
  const late = client.start({ ...task, taskId: 't1' }, soon())
  await new Promise(resolve => setTimeout(resolve, 120))
  worker.faults.freeze = false
  t.equal(await late, 'ended')
  const again = { ...task, startBefore: now + 60_000 }
  t.equal(await client.start({ ...again, taskId: 't1' }, soon()), 'ended', 'the id is fenced')
  t.equal(await client.start({ ...again, taskId: 't2', boot: 'other' }, soon()), 'ended')
  t.equal(await client.start({ ...again, taskId: 't3' }, soon()), 'started')
  t.same(worker.counters().startsByJob, { j: 1 })
})

// A restarted worker lists no task, which must not be taken for a start that never arrived.
void t.test('an unanswered start on a restarted worker runs at most once', async t => {
  const { acceptJob, createHolder, isInState, permitsInUse, workers, countStarts } =
    await createFixture(t, {
      workers: 1,
    })
  const [worker] = workers
  if (worker === undefined) return
  const control = createHolder('c1')
  await control.acquireDuty()
  const id = await acceptJob({ idempotent: false, payload: longRun })
  worker.faults.loseStarts = 1
  await control.placement.round()
  t.equal(countStarts(id), 1)
  const port = Number(worker.address.split(':')[1])
  await worker.close()
  const { listedHost } = worker
  const again = await createWorkerStandin({ ...listedHost, port })
  t.teardown(() => again.close())
  await control.runRoundsUntil(() => isInState(id, 'lost'))
  t.equal(again.counters().startsByJob[id], undefined)
  t.equal(await permitsInUse(), 0)
})
