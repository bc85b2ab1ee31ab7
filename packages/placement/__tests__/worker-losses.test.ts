import t from 'tap'
import { hostsTable, tasksTable, taskKey, workerKey, type ReportedTask } from '@bulrushbridge/host'
import { jobKey, storedJobsTable, type StoredJob } from '@bulrushbridge/jobs'
import { TaskStore } from '../src/task-store.js'
import type { TrackedTask } from '../src/tracked-task.js'
import { WorkerReconciler } from '../src/worker-reconciler.js'
import { createFixture, pool } from './fixture.js'

const longRun = { runMs: 600_000 }

type Fixture = Awaited<ReturnType<typeof createFixture>>

const findWorkerOf = (id: string, { workers }: Fixture) =>
  workers.find(worker => worker.tasks().some(({ jobId }) => jobId === id))

// Guards against a job that crashes each worker that starts it and is queued again without limit.
void t.test('a job that crashes its workers fails at the fourth loss', async t => {
  const fixture = await createFixture(t, { workers: 3 })
  const { acceptJob, createHolder, isInState, readJob, restartWorker, permitsInUse } = fixture
  const id = await acceptJob({ payload: longRun })
  const control = createHolder('c1')
  await control.acquireDuty()
  let crashes = 0
  await control.runRoundsUntil(async () => {
    const worker = findWorkerOf(id, fixture)
    if (worker !== undefined) {
      crashes += 1
      await restartWorker(worker)
    }
    return crashes > 6 || (await isInState(id, 'failed'))
  })
  t.equal(crashes, 4)
  const { state, reason } = await readJob(id)
  t.equal(state, 'failed')
  t.equal(reason, '4 workers were lost while they ran it')
  t.equal(await permitsInUse(), 0)
  const [decision] = control.decisions.filter(({ rule }) => rule === 'job-lost-workers')
  t.match(decision, { subject: { kind: 'job', id }, observed: { workerLosses: 4 }, action: 'fail' })
})

// Guards against losses that a new holder of the duty forgets, and losses whose start had no answer.
void t.test('losses are counted across holders of the duty', async t => {
  const fixture = await createFixture(t, { workers: 3 })
  const { acceptJob, createHolder, isInState, readJob, restartWorker, workers } = fixture
  const id = await acceptJob({ payload: longRun })
  for (let holder = 1; holder <= 4; holder++) {
    t.equal((await readJob(id)).workerLosses ?? 0, holder - 1)
    const control = createHolder(`c${holder}`)
    if (holder > 1) await control.passTime(4_000)
    await control.acquireDuty()
    for (const { faults } of workers) faults.loseStarts = holder % 2
    await control.runRoundsUntil(() => findWorkerOf(id, fixture) !== undefined)
    const worker = findWorkerOf(id, fixture)
    if (worker === undefined) throw new Error('no worker runs the job')
    await restartWorker(worker)
    for (const { faults } of workers) faults.reject = true
    await control.runRoundsUntil(async () => (await readJob(id)).workerLosses === holder)
    for (const { faults } of workers) faults.reject = false
    await control.duty.close()
  }
  t.ok(await isInState(id, 'failed'))
})

// Guards against failing jobs for ends of workers that were ordered or announced.
void t.test('only workers that are lost without notice count', async t => {
  const fixture = await createFixture(t, { workers: 4 })
  const { acceptJob, createHolder, isInState, readJob, restartWorker, table } = fixture
  const { leaving, unlisted, zonesOut } = fixture
  const control = createHolder('c1')
  await control.acquireDuty()
  const writeRow = (worker: string, value: unknown) =>
    table.commit({
      checks: [],
      writes: [{ table: hostsTable, key: workerKey(pool, worker), value }],
    })
  const cases: Record<string, { losses: number; notify: (id: string, zone: string) => unknown }> = {
    'no notice': { losses: 1, notify: () => undefined },
    'leaving by the host list': { losses: 0, notify: id => leaving.add(id) },
    'no longer shown as leaving': {
      losses: 0,
      notify: async id => {
        leaving.add(id)
        await control.placement.round()
        leaving.delete(id)
      },
    },
    'zone out': { losses: 0, notify: (_, zone) => zonesOut.add(zone) },
    'row deleted for a drain': { losses: 0, notify: id => writeRow(id, null) },
    'row deleted after the worker vanished': {
      losses: 1,
      notify: id => {
        unlisted.add(id)
        return writeRow(id, null)
      },
    },
  }
  for (const [name, { losses, notify }] of Object.entries(cases)) {
    const id = await acceptJob({ payload: longRun })
    await control.runRoundsUntil(() => isInState(id, 'running'))
    const worker = findWorkerOf(id, fixture)
    if (worker === undefined) throw new Error('no worker runs the job')
    const { listedHost } = worker
    await notify(listedHost.id, listedHost.zone)
    // Longer than the interval between two reads of the workers' rows.
    await control.passTime(2_250)
    await restartWorker(worker)
    // The restarted worker has no tasks, so one with the job has started it again.
    await control.runRoundsUntil(
      async () => findWorkerOf(id, fixture) !== undefined && isInState(id, 'running'),
    )
    t.equal((await readJob(id)).workerLosses ?? 0, losses, name)
    await fixture.jobs.cancel({ team: 'lamps', ids: [id] })
    await control.runRoundsUntil(() => isInState(id, 'cancelled'))
    for (const notices of [leaving, unlisted, zonesOut]) notices.clear()
    await writeRow(listedHost.id, { ...listedHost, pool })
    await control.passTime(2_250)
  }
})

// Guards against a crash that is missed because the worker does not come back.
void t.test('a worker that is gone until the leases end counts', async t => {
  const { acceptJob, createHolder, isInState, readJob, workers } = await createFixture(t, {
    workers: 1,
  })
  const id = await acceptJob({ payload: longRun })
  const control = createHolder('c1')
  await control.acquireDuty()
  await control.runRoundsUntil(() => isInState(id, 'running'))
  await workers[0]?.close()
  await control.runRoundsUntil(() => isInState(id, 'queued'))
  t.equal((await readJob(id)).workerLosses, 1)
})

// Guards against blaming a job for a restart that came before its start.
void t.test('a start that a restarted worker refuses counts for nothing', async t => {
  const { acceptJob, createHolder, isInState, readJob, restartWorker, workers } =
    await createFixture(t, { workers: 1 })
  const control = createHolder('c1')
  await control.acquireDuty()
  const first = await acceptJob()
  await control.runRoundsUntil(() => isInState(first, 'finished'))
  const [worker] = workers
  if (worker === undefined) return
  await restartWorker(worker)
  const id = await acceptJob({ payload: longRun })
  // The last reading of the worker's clock is recent, so the start names the former boot.
  await control.placement.round()
  t.match(workers[0]?.tasks(), [{ state: 'fenced' }])
  await control.runRoundsUntil(() => isInState(id, 'running'))
  t.equal((await readJob(id)).workerLosses, undefined)
})

// Guards against failing a job whose workers were lost after long runs, also if another holder of the
// duty sees the loss.
void t.test('a run of ten seconds clears the stored losses', async t => {
  const { acceptJob, createHolder, isInState, readJob, taskRows, table } = await createFixture(t, {
    workers: 1,
  })
  const id = await acceptJob({ payload: longRun })
  const control = createHolder('c1')
  await control.acquireDuty()
  await control.runRoundsUntil(() => isInState(id, 'running'))
  await control.duty.close()
  const [started] = await taskRows()
  if (started === undefined) throw new Error('the job has no task')
  const row = { ...started, workerLosses: 3 }
  const job: StoredJob = { ...(await readJob(id)), workerLosses: 3 }
  const jobRow = { table: storedJobsTable, key: jobKey('lamps', id), value: job }
  const taskRow = { table: tasksTable, key: taskKey(row), value: row }
  await table.commit({ checks: [], writes: [jobRow, taskRow] })

  let listed = { now: 0, boot: row.boot, tasks: [] as Partial<ReportedTask>[] }
  const none = { checks: [], writes: [] }
  const held = () => ({ token: 9, check: { table: 'duty-fences', key: 'none', version: 0 } })
  const opts = { clock: control.clock, held, table, pool }
  const tasks = new Map<string, TrackedTask>()
  tasks.set(row.taskId, { row, leaseEndsAt: Infinity, canBeRunning: true })
  const client = {
    list: () => Promise.resolve(listed),
    stop: () => Promise.resolve({ started: false, state: 'fenced', runMs: 0 }),
  }
  const reconciler = new WorkerReconciler({
    ...opts,
    taskStore: new TaskStore({
      ...opts,
      permits: {
        configure: () => undefined,
        reserveForTask: () => Promise.resolve(none),
        releaseForTask: () => Promise.resolve(none),
      },
    }),
    clients: { clientOf: () => client, recordReading: () => undefined },
    tasks,
    configuration: () => ({ zonesOut: new Set() }),
  } as never)
  const reconcileAfter = async (runMs: number) => {
    listed = { ...listed, tasks: [{ taskId: row.taskId, state: 'running', runMs }] }
    await reconciler.reconcile(new Set())
    const [stored] = await taskRows()
    return [(await readJob(id)).workerLosses, stored?.workerLosses]
  }
  t.same(await reconcileAfter(9_999), [3, 3])
  t.same(await reconcileAfter(10_000), [0, 0])
  listed = { now: 0, boot: 'another boot', tasks: [] }
  await reconciler.reconcile(new Set())
  t.match(await readJob(id), { state: 'queued', workerLosses: 0 })
})
