import { waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { createFleet, oneTask } from './fixture.js'

const deadlyJob = '00000000000000a1'
const deadlyTask = `${deadlyJob}.0.0.0`
const harmlessJob = '00000000000000b2'

// Guards against BUDGET: a task that crashed each runner that started it was started without limit, and
// took the other runs on those runners with it.
void t.test('a task that crashes runners is given up, and no other one is', async t => {
  const fleet = createFleet()
  const runners = [
    await fleet.addRunner('r1'),
    await fleet.addRunner('r2'),
    await fleet.addRunner('r3'),
  ]
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(harmlessJob, [{ ...oneTask, count: 3 }])
  await fleet.submit(deadlyJob, [{ ...oneTask, count: 2 }])
  let starts = 0
  const crash = setInterval(() => {
    for (const [index, runner] of runners.entries()) {
      if (!runner.running.has(deadlyTask)) continue
      starts += 1
      runner.restart()
      void fleet.addRunner(`r${index + 1}`)
    }
  }, 5)
  t.teardown(() => {
    clearInterval(crash)
  })
  await waitUntil(async () => (await fleet.progress(deadlyJob))?.status === 'failed')
  t.ok(starts >= 2 && starts <= 5, `${starts} starts`)
  await waitUntil(() => runners.reduce((sum, { running }) => sum + running.size, 0) === 3)
  for (const runner of runners) for (const name of runner.running.keys()) runner.end(name, 'done')
  await waitUntil(async () => (await fleet.progress(harmlessJob))?.status === 'completed')
})

// Guards against LIMIT: the capacity of a runner shrinks while it runs.
void t.test('a runner whose capacity has shrunk below its load gets no start', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(harmlessJob, [{ ...oneTask, count: 3 }])
  await waitUntil(() => runner.running.size === 3)
  await fleet.addRunner('r1', {
    capacity: { cpuMillis: 2_000, memoryMb: 4_000, accelerators: 0 },
  })
  // Longer than the pause between two reads of the registry.
  await new Promise(resolve => setTimeout(resolve, 300))
  await fleet.submit(deadlyJob, [oneTask])
  runner.end(`${harmlessJob}.0.0.0`, 'done')
  await new Promise(resolve => setTimeout(resolve, 200))
  t.notOk(runner.running.has(deadlyTask))
  runner.end(`${harmlessJob}.0.0.1`, 'done')
  await waitUntil(() => runner.running.has(deadlyTask))
})

// Guards against BUDGET: crashes that an earlier dispatcher counted were forgotten by the next one.
void t.test('crashes are counted across a takeover', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  await fleet.submit(deadlyJob, [oneTask])
  let dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  for (let start = 1; start <= 4; start++) {
    await waitUntil(() => runner.startedRuns.length === start)
    await dispatcher.close()
    runner.restart()
    await fleet.addRunner('r1')
    dispatcher = fleet.start(`host-${start + 1}`)
  }
  await waitUntil(async () => (await fleet.progress(deadlyJob))?.status === 'failed')
  t.equal(runner.startedRuns.length, 4)
})

// Guards against failing jobs for orderly ends of runners, such as upkeeps and scale-downs.
void t.test('a runner that drains before it ends is not taken for crashed', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(harmlessJob, [oneTask])
  for (let start = 1; start <= 6; start++) {
    await waitUntil(() => runner.startedRuns.length === start)
    await fleet.addRunner('r1', { isDraining: true })
    // Longer than the pause between two reads of the registry.
    await new Promise(resolve => setTimeout(resolve, 250))
    runner.restart()
    await waitUntil(() => runner.running.size === 0)
    await new Promise(resolve => setTimeout(resolve, 150))
    await fleet.addRunner('r1')
  }
  t.equal((await fleet.progress(harmlessJob))?.status, 'running')
})
