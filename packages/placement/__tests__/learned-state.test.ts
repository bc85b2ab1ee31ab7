import t from 'tap'
import { createFixture } from './fixture.js'
import { createLearnedSizes, createWorkerFailureTracker } from '../src/index.js'

const teams = ['lamps', 'mills', 'stones']

/** Creates a pool whose first worker fails all tasks and was quarantined by the holder `c1`. */
async function quarantinedPool(t: Parameters<typeof createFixture>[0]) {
  /** Tasks running on the broken worker, and their maximum before the worker was reinstated. */
  const trialTasks = { running: 0, most: 0 }
  const onStart = (worker: string) => {
    if (worker !== 'w1') return () => undefined
    trialTasks.running += 1
    if (!isDecided('reinstate')) trialTasks.most = Math.max(trialTasks.most, trialTasks.running)
    return () => (trialTasks.running -= 1)
  }
  const fixture = await createFixture(t, { workers: 5, onStart })
  const { acceptJob, createHolder, isInState, workers } = fixture
  const [broken] = workers
  if (broken === undefined) throw new Error('there is no worker')
  broken.faults.failAll = true
  const control = createHolder('c1')
  await control.acquireDuty()
  /** Runs one short job of each team to its end. */
  const runAll = async (by = control) => {
    const ids = await Promise.all(
      teams.map(async team => ({ team, id: await acceptJob({ team, payload: { runMs: 1 } }) })),
    )
    await by.runRoundsUntil(async () => {
      const done = ids.map(({ id, team }) => isInState(id, 'finished', team))
      return (await Promise.all(done)).every(Boolean)
    })
  }
  const isDecided = (action: string) => control.decisions.some(each => each.action === action)
  for (let n = 0; n < 10 && !isDecided('quarantine'); n++) await runAll()
  const countRuns = () => Object.values(broken.counters().startsByJob).reduce((a, b) => a + b, 0)
  trialTasks.most = 0
  return { ...fixture, broken, control, runAll, countRuns, isDecided, trialTasks }
}

// Without the stored row a broken worker would fail jobs again after each change of the holder.
void t.test('a new holder restores the quarantine and the learned sizes', async t => {
  const { control, createHolder, runAll, countRuns, table } = await quarantinedPool(t)
  await control.passTime(6_000)
  await control.acquireDuty()
  await control.placement.round()
  const row = await table.read<{ sizes: [string, { count: number }][] }>(
    'placement-learned',
    'batch',
  )
  t.ok((row?.value.sizes[0]?.[1].count ?? 0) > 0, 'learned sizes are stored')
  await control.duty.close()
  const next = createHolder('c2')
  // Both clocks start at the same time, so the pause before the trial has not ended for `c2`.
  await next.acquireDuty()
  const before = countRuns()
  for (let n = 0; n < 3; n++) await runAll(next)
  t.equal(countRuns(), before, 'the quarantined worker is given nothing')
})

void t.test('learned state is written only after changes and at a bounded rate', async t => {
  const { acceptJob, createHolder, isInState, table } = await createFixture(t)
  const control = createHolder('c1')
  await control.acquireDuty()
  const version = async () => (await table.read('placement-learned', 'batch'))?.version ?? 0
  const begin = control.clock.now()
  for (let n = 0; n < 10; n++) {
    const id = await acceptJob({ payload: { runMs: 1 } })
    await control.runRoundsUntil(() => isInState(id, 'finished'))
  }
  await control.placement.round()
  const passed = control.clock.now() - begin
  const writes = await version()
  t.ok(writes >= 1 && writes <= 1 + passed / 5_000, `${writes} writes in ${passed} ms`)
  await control.passTime(6_000)
  await control.acquireDuty()
  await control.placement.round()
  const settled = await version()
  await control.passTime(6_000)
  await control.acquireDuty()
  await control.placement.round()
  t.equal(await version(), settled)
})

void t.test('a repaired worker is reinstated after trials with one task at a time', async t => {
  const { acceptJob, broken, control, isInState, runAll, countRuns, isDecided, trialTasks } =
    await quarantinedPool(t)
  broken.faults.failAll = false
  const before = countRuns()
  await runAll()
  t.equal(countRuns(), before, 'there is no trial during the pause')
  await control.passTime(61_000)
  await control.acquireDuty()
  // Twelve jobs reach the limits of all teams; the worker on trial gets a single one.
  const ids = await Promise.all(
    teams.flatMap(team =>
      [1, 2, 3, 4].map(async () => ({
        team,
        id: await acceptJob({ team, payload: { runMs: 300 } }),
      })),
    ),
  )
  await control.runRoundsUntil(async () =>
    (await Promise.all(ids.map(({ id, team }) => isInState(id, 'finished', team)))).every(Boolean),
  )
  t.equal(trialTasks.most, 1)
  for (let n = 0; n < 20 && !isDecided('reinstate'); n++) await runAll()
  t.ok(isDecided('reinstate'))
})

void t.test('a failed trial doubles the pause and keeps the worker in quarantine', t => {
  let now = 0
  const failureTracker = createWorkerFailureTracker({ wallClock: () => now })
  for (const team of teams) failureTracker.recordFailure('w1', team, 5)
  t.same(failureTracker.trialWorkers(), [])
  now = 60_000
  t.same(failureTracker.trialWorkers(), ['w1'])
  failureTracker.recordFailure('w1', 'lamps', 5)
  now += 119_000
  t.same(failureTracker.trialWorkers(), [], 'the second pause is longer')
  now += 1_000
  t.same(failureTracker.trialWorkers(), ['w1'])
  t.notOk(failureTracker.recordSuccess('w1'))
  t.notOk(failureTracker.recordSuccess('w1'))
  t.ok(failureTracker.recordSuccess('w1'), 'the third success in a row ends it')
  t.same(failureTracker.quarantinedWorkers(), [])
  t.end()
})

void t.test('stored sizes keep the most recently observed kinds', t => {
  const sizes = createLearnedSizes()
  const seen = { cpus: 1, memoryMb: 1, accelerators: 0, runMs: 100 }
  for (let n = 0; n < 600; n++) for (let each = 0; each < 3; each++) sizes.observe(`k${n}`, seen)
  const restored = createLearnedSizes()
  restored.restore(JSON.parse(JSON.stringify(sizes.state())) as never)
  t.equal(restored.state().length, 500)
  t.equal(restored.meanRunMs('k0'), undefined)
  t.equal(restored.meanRunMs('k599'), 100)
  t.end()
})
