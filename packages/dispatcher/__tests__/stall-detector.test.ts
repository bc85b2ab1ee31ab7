import { createRunnerSpeeds, createRunTimeModel } from '@bulrushbridge/run-times'
import { createRunnerFailureTracker, JobExecution, type Step } from '@bulrushbridge/scheduler'
import { waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { allocationKey, createAllocation, type Allocation } from '../src/allocation.js'
import { createStallDetector, type CheckedSession } from '../src/stall-detector.js'
import { createFleet, oneTask } from './fixture.js'
import { createRecordingLog } from './log-fixture.js'

const image = 'finder/index:4'

/** A runner with runs that were confirmed at 0 and have not progressed, and the detector. */
function createCheck(count: number, changes: Partial<Step> = { image }) {
  const steps = [{ ...oneTask, estimateMs: 700, count, ...changes }]
  const job = new JobExecution({ id: 'job', queue: 'finder', payload: '', steps, acceptedAt: 0 })
  job.openDueOccurrences(0)
  const tasks = [...(job.openOccurrences.get(0)?.steps[0]?.tasks ?? [])]
  const runs = tasks.map((task): Allocation => {
    job.beginRun(task, 'r1', 1)
    return {
      ...createAllocation(task, 1),
      state: 'present',
      orderedAt: 0,
      confirmedAt: 0,
      percentAt: 0,
    }
  })
  const stopped: string[] = []
  const runner: { runnerStartedAt: number; answeredAt: number | undefined } = {
    runnerStartedAt: 1,
    answeredAt: undefined,
  }
  const session: CheckedSession = {
    id: 'r1',
    rack: 'rack-1',
    get runnerStartedAt() {
      return runner.runnerStartedAt
    },
    lastDoneAt: undefined,
    get answeredAt() {
      return runner.answeredAt
    },
    allocations: new Map(runs.map(run => [allocationKey(run.taskName, run.runNumber), run])),
    stop: run => {
      stopped.push(run.taskName)
      run.state = 'stopping'
      return Promise.resolve()
    },
  }
  const runTimes = createRunTimeModel()
  const speeds = createRunnerSpeeds()
  const runnerFailures = createRunnerFailureTracker()
  const { log, lines } = createRecordingLog()
  const sessions = new Map([['r1', session]])
  const detector = createStallDetector({ runTimes, speeds, sessions, runnerFailures, log })
  const check = (now: number, answeredAt = now) => {
    runner.answeredAt = answeredAt
    detector.check(session, now)
    detector.finishCheck()
  }
  return { runner, session, runs, stopped, runTimes, runnerFailures, lines, check }
}

// Guards against new runs for a runner that answers polls while nothing progresses there, and against
// waiting there for as long as for a long task.
void t.test('the runs of a stuck runner are stopped, and it gets no others', t => {
  const { check, stopped, runnerFailures, lines } = createCheck(4)
  check(2_400)
  t.same(stopped, [])
  check(2_600)
  t.equal(stopped.length, 4)
  t.ok(runnerFailures.isQuarantined('r1', 2_700))
  const message = 'runner answers but none of its runs progresses, it is quarantined'
  t.match(lines[0], { message, fields: { runner: 'r1', runs: 4, sinceProgressMs: 2_600 } })
  t.equal(lines.filter(line => line.message === 'stalled run stopped').length, 4)
  t.end()
})

// Guards against a stuck runner that is not noticed because its runs are stopped one after another.
void t.test('a runner is stuck also if its runs began at different times', t => {
  const { check, stopped, runs, runnerFailures } = createCheck(6)
  for (const [index, run] of runs.entries())
    Object.assign(run, { confirmedAt: 1_000 * index, percentAt: 1_000 * index })
  for (let now = 200; now < 3_600; now += 200) check(now)
  t.equal(stopped.length, 1)
  t.notOk(runnerFailures.isQuarantined('r1', 3_600))
  check(3_800)
  t.equal(stopped.length, 2)
  t.ok(runnerFailures.isQuarantined('r1', 3_800))
  t.end()
})

// Guards against a dispatcher that was paused for seconds and then takes every runner for stuck, because
// none of them has reported anything meanwhile.
void t.test('a runner is judged as of its last answer', t => {
  const { check, stopped, runnerFailures } = createCheck(2)
  check(9_000, 1_000)
  t.same(stopped, [])
  t.notOk(runnerFailures.isQuarantined('r1', 9_000))
  check(2_650, 1_400)
  t.equal(stopped.length, 2, 'a poll may be held for that long')
  t.end()
})

// Guards against stopping the members of a gang, which wait for each other.
void t.test('a gang does not make its runner stuck', t => {
  const { check, stopped, runnerFailures } = createCheck(4, { image, isGang: true })
  check(10_000)
  t.same(stopped, [])
  t.notOk(runnerFailures.isQuarantined('r1', 10_000))
  t.end()
})

// Guards against a runner that stays out of use after the restart that repaired it.
void t.test('the quarantine of a stuck runner ends when the runner restarts', t => {
  const { check, runner, runnerFailures } = createCheck(4)
  check(2_600)
  check(2_800)
  t.ok(runnerFailures.isQuarantined('r1', 2_800))
  runner.runnerStartedAt = 2
  check(3_000)
  t.notOk(runnerFailures.isQuarantined('r1', 3_000))
  t.end()
})

// Guards against stopping one of the few long tasks while the other runs on its runner progress, and
// against leaving a run that hangs by itself for ever.
void t.test('one long task on a working runner is stopped only after the time of long tasks', t => {
  const { check, stopped, runs, session, runTimes, runnerFailures } = createCheck(3)
  const kind = { queue: 'finder', image, cpuMillis: 1_000, declaredMs: 700 }
  for (let run = 0; run < 300; run++)
    runTimes.observe({ ...kind, ms: run % 33 === 0 ? 4_900 : 700 })
  const longMs = runTimes.estimate(kind).quantileMs(0.99)
  t.ok(longMs > 4_000 && longMs < 7_000, `0.99: ${longMs.toFixed(0)} ms`)
  for (let now = 200; now < longMs; now += 200) {
    for (const run of runs.slice(1)) run.percentAt = now
    check(now)
  }
  t.same(stopped, [])
  // The other runs, which progress beyond their expected time, have raised it.
  const raisedMs = runTimes.estimate(kind).quantileMs(0.99)
  t.ok(raisedMs < 1.2 * longMs, `0.99: ${raisedMs.toFixed(0)} ms`)
  session.lastDoneAt = raisedMs
  check(raisedMs + 100)
  t.equal(stopped.length, 1)
  t.notOk(runnerFailures.isQuarantined('r1', raisedMs + 200))
  t.end()
})

// Guards against other behaviour for jobs that name no image: such a run is stopped as before.
void t.test('runs without an image are stalled after the same time as before', t => {
  const { check, stopped, runnerFailures } = createCheck(4, {})
  check(2_600)
  t.same(stopped, [])
  check(2_750)
  t.equal(stopped.length, 4)
  t.notOk(runnerFailures.isQuarantined('r1', 2_800))
  t.end()
})

// Guards against learning from hanging runs that tasks take long, by which no run would be overdue.
void t.test('runs that hang do not raise the estimate, those that progress do', t => {
  const stuck = createCheck(4)
  stuck.check(200)
  stuck.check(2_400)
  const kind = { queue: 'finder', image, cpuMillis: 1_000, declaredMs: 700 }
  t.equal(Math.round(stuck.runTimes.estimate(kind).meanMs), 700)
  const working = createCheck(4)
  working.check(200)
  for (const run of working.runs) run.percentAt = 2_500
  working.check(2_600)
  t.ok(working.runTimes.estimate(kind).meanMs > 1_400)
  t.same(working.stopped, [])
  t.end()
})

// Guards against a dispatcher that goes on giving work to such a runner, or that leaves it there.
void t.test('tasks of a stuck runner run elsewhere', async t => {
  const { log, lines } = createRecordingLog()
  const fleet = createFleet({ log })
  const stuck = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  const id = '00000000000000d1'
  await fleet.submit(id, [{ ...oneTask, image, count: 3 }])
  await waitUntil(() => stuck.running.size === 3)
  const other = await fleet.addRunner('r2')
  await waitUntil(() => other.running.size === 3)
  t.equal(stuck.startedRuns.length, 3, 'no task starts there again')
  for (const task of [...other.running.keys()]) other.end(task, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  t.ok(lines.some(({ message }) => message.startsWith('runner answers but none of its runs')))
})
