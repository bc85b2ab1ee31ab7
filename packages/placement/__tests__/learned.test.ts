import t from 'tap'
import { createFixture } from './fixture.js'
import { createLearnedSizes, createWorkerBlame } from '../src/index.js'

const teams = ['lamps', 'mills', 'stones']

/** A pool whose first worker has been quarantined by the holder `c1`. */
async function quarantinedPool(t: Parameters<typeof createFixture>[0]) {
  /** Tasks that run on the broken worker, and the most at a time before it was reinstated. */
  const trials = { running: 0, most: 0 }
  const onStart = (worker: string) => {
    if (worker !== 'w1') return () => undefined
    trials.running += 1
    if (!isDecided('reinstate')) trials.most = Math.max(trials.most, trials.running)
    return () => (trials.running -= 1)
  }
  const fixture = await createFixture(t, { workers: 5, onStart })
  const { accept, holder, isIn, workers } = fixture
  const [broken] = workers
  if (broken === undefined) throw new Error('there is no worker')
  broken.faults.failAll = true
  const control = holder('c1')
  await control.take()
  /** One short job of each team, run to its end. */
  const runAll = async (by = control) => {
    const ids = await Promise.all(
      teams.map(async team => ({ team, id: await accept({ team, payload: { runMs: 1 } }) })),
    )
    await by.rounds(async () => {
      const done = ids.map(({ id, team }) => isIn(id, 'finished', team))
      return (await Promise.all(done)).every(Boolean)
    })
  }
  const isDecided = (action: string) => control.decisions.some(each => each.action === action)
  for (let n = 0; n < 10 && !isDecided('quarantine'); n++) await runAll()
  const ran = () => Object.values(broken.counters().startsByJob).reduce((a, b) => a + b, 0)
  trials.most = 0
  return { ...fixture, broken, control, runAll, ran, isDecided, trials }
}

// Without the stored row each change of the holder would let a broken worker fail jobs again.
void t.test('a new holder knows the quarantine and the learned sizes', async t => {
  const { control, holder, runAll, ran, table } = await quarantinedPool(t)
  await control.pass(6_000)
  await control.take()
  await control.placement.round()
  const row = await table.read<{ sizes: [string, { count: number }][] }>(
    'placement-learned',
    'batch',
  )
  t.ok((row?.value.sizes[0]?.[1].count ?? 0) > 0, 'learned sizes are stored')
  await control.duty.close()
  const next = holder('c2')
  // Both clocks start at the same time, so the pause has not ended for the next holder.
  await next.take()
  const before = ran()
  for (let n = 0; n < 3; n++) await runAll(next)
  t.equal(ran(), before, 'the quarantined worker is given nothing')
})

void t.test(
  'what is learned is written at a bounded rate and not when nothing changed',
  async t => {
    const { accept, holder, isIn, table } = await createFixture(t)
    const control = holder('c1')
    await control.take()
    const version = async () => (await table.read('placement-learned', 'batch'))?.version ?? 0
    const begin = control.clock.now()
    for (let n = 0; n < 10; n++) {
      const id = await accept({ payload: { runMs: 1 } })
      await control.rounds(() => isIn(id, 'finished'))
    }
    await control.placement.round()
    const passed = control.clock.now() - begin
    const writes = await version()
    t.ok(writes >= 1 && writes <= 1 + passed / 5_000, `${writes} writes in ${passed} ms`)
    await control.pass(6_000)
    await control.take()
    await control.placement.round()
    const settled = await version()
    await control.pass(6_000)
    await control.take()
    await control.placement.round()
    t.equal(await version(), settled)
  },
)

void t.test('a repaired worker returns after trials with one task at a time', async t => {
  const { accept, broken, control, isIn, runAll, ran, isDecided, trials } = await quarantinedPool(t)
  broken.faults.failAll = false
  const before = ran()
  await runAll()
  t.equal(ran(), before, 'there is no trial during the pause')
  await control.pass(61_000)
  await control.take()
  // Twelve jobs fill the limits of all teams; the trial takes a single one.
  const ids = await Promise.all(
    teams.flatMap(team =>
      [1, 2, 3, 4].map(async () => ({
        team,
        id: await accept({ team, payload: { runMs: 300 } }),
      })),
    ),
  )
  await control.rounds(async () =>
    (await Promise.all(ids.map(({ id, team }) => isIn(id, 'finished', team)))).every(Boolean),
  )
  t.equal(trials.most, 1)
  for (let n = 0; n < 20 && !isDecided('reinstate'); n++) await runAll()
  t.ok(isDecided('reinstate'))
})

void t.test('a failed trial doubles the pause and keeps the worker in quarantine', t => {
  let now = 0
  const blame = createWorkerBlame({ wallClock: () => now })
  for (const team of teams) blame.failed('w1', team, 5)
  t.same(blame.onTrial(), [])
  now = 60_000
  t.same(blame.onTrial(), ['w1'])
  blame.failed('w1', 'lamps', 5)
  now += 119_000
  t.same(blame.onTrial(), [], 'the second pause is longer')
  now += 1_000
  t.same(blame.onTrial(), ['w1'])
  t.notOk(blame.finished('w1'))
  t.notOk(blame.finished('w1'))
  t.ok(blame.finished('w1'), 'the third success in a row ends it')
  t.same(blame.quarantined(), [])
  t.end()
})

void t.test('stored sizes keep the kinds observed last', t => {
  const sizes = createLearnedSizes()
  const seen = { cpus: 1, memoryMb: 1, accelerators: 0, runMs: 100 }
  for (let n = 0; n < 600; n++) for (let each = 0; each < 3; each++) sizes.observe(`k${n}`, seen)
  const restored = createLearnedSizes()
  restored.restore(JSON.parse(JSON.stringify(sizes.state())) as never)
  t.equal(restored.state().length, 500)
  t.equal(restored.runMs('k0'), undefined)
  t.equal(restored.runMs('k599'), 100)
  t.end()
})
