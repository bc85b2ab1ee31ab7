import { waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { createFleet, oneTask } from './fixture.js'

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
const lastingJob = '00000000000000c3'
const shortJob = '00000000000000d4'

// Guards against LOST: a lasting task does not run alone before its last crash.
void t.test('a lasting job does not fail for the crashes that other tasks cause', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(lastingJob, [{ ...oneTask, isLasting: true }])
  await waitUntil(() => runner.running.size === 1)
  const deadly = ['00000000000000a1', '00000000000000a2', '00000000000000a3', '00000000000000a4']
  const crash = setInterval(() => {
    const isDeadlyRunning = deadly.some(id => runner.running.has(`${id}.0.0.0`))
    if (!isDeadlyRunning || !runner.running.has(`${lastingJob}.0.0.0`)) return
    runner.restart()
    void fleet.addRunner('r1')
  }, 5)
  t.teardown(() => {
    clearInterval(crash)
  })
  for (const id of deadly) {
    await fleet.submit(id, [oneTask])
    await pause(1_000)
  }
  t.equal((await fleet.progress(lastingJob))?.status, 'running')
})

// Guards against a task that waits for ever, because a lasting task remains a suspect on its runner.
void t.test('a suspect starts on the runner of a lasting task', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(lastingJob, [{ ...oneTask, isLasting: true }])
  await waitUntil(() => runner.running.size === 1)
  await fleet.submit(shortJob, [oneTask])
  await waitUntil(() => runner.running.size === 2)
  for (let n = 0; n < 2; n++) {
    runner.restart()
    await fleet.addRunner('r1')
    if (n === 0) await waitUntil(() => runner.running.size === 2)
  }
  await waitUntil(() => runner.running.size > 0)
  await pause(11_000)
  t.comment([...runner.running.keys()].join(' '))
  if (!runner.running.has(`${lastingJob}.0.0.0`)) {
    runner.end(`${shortJob}.0.0.0`, 'done')
    await waitUntil(() => runner.running.has(`${lastingJob}.0.0.0`))
    return
  }
  t.ok(runner.running.has(`${shortJob}.0.0.0`))
})

// Guards against a pool that stands still: no runner with a lasting task ever becomes idle.
void t.test('a suspect that must run alone does not stop a pool with a lasting task', async t => {
  const fleet = createFleet()
  const r1 = await fleet.addRunner('r1', { labels: ['kind', 'x'] })
  const r2 = await fleet.addRunner('r2', { labels: ['kind', 'y'] })
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(lastingJob, [{ ...oneTask, isLasting: true, needs: 'y' }])
  await waitUntil(() => r2.running.size === 1)
  await fleet.submit(shortJob, [{ ...oneTask, needs: 'x' }])
  for (let start = 1; start <= 3; start++) {
    await waitUntil(() => r1.startedRuns.length === start)
    if (start < 3) r1.restart()
    if (start < 3) await fleet.addRunner('r1', { labels: ['kind', 'x'] })
  }
  // From now on only the runner of the lasting task suits the suspect.
  await fleet.addRunner('r2', { labels: ['kind', 'y', 'x'] })
  await fleet.addRunner('r1', { labels: ['kind'], pool: 'other' })
  await pause(300)
  r1.restart()
  await fleet.addRunner('r1', { labels: ['kind'], pool: 'other' })
  await pause(600)
  const other = '00000000000000e5'
  await fleet.submit(other, [oneTask])
  const suspect = `${shortJob}.0.0.0`
  await waitUntil(() => r2.running.has(suspect))
  r2.end(suspect, 'done')
  await waitUntil(() => r2.running.has(`${other}.0.0.0`))
})

// Guards against BUDGET: a start order is repeated to the restarted runner, which has seen no fencing
// token yet and carries it out again.
void t.test('a task that crashes runners before it is confirmed starts a few times', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  runner.fault = 'lose-after'
  const crash = setInterval(() => {
    if (runner.running.size === 0) return
    runner.restart()
    void fleet.addRunner('r1')
  }, 5)
  t.teardown(() => {
    clearInterval(crash)
  })
  await fleet.submit(shortJob, [oneTask])
  await pause(4_000)
  t.ok(runner.startedRuns.length <= 5, `${runner.startedRuns.length} starts`)
})

// Guards against BUDGET: the time until the crash is noticed counted as time for which the task ran.
void t.test('a crash counts when the runner is back after more than ten seconds', async t => {
  const fleet = createFleet()
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(shortJob, [oneTask])
  await waitUntil(() => runner.running.size === 1)
  runner.restart()
  await fleet.addRunner('r1')
  await waitUntil(() => runner.running.size === 1)
  await pause(100)
  runner.fault = 'unreachable'
  await pause(10_200)
  runner.fault = 'none'
  runner.restart()
  await fleet.addRunner('r1')
  await waitUntil(() => runner.startedRuns.length === 3)
  t.same((await fleet.progress(shortJob))?.crashes, { '0.0.0': 2 })
})
