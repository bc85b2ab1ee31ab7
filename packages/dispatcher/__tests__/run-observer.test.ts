import { createRunnerSpeeds, createRunTimeModel } from '@bulrushbridge/run-times'
import { JobExecution, slownessOf, type Step, type Task } from '@bulrushbridge/scheduler'
import { createMetrics } from '@bulrushbridge/telemetry'
import t from 'tap'
import { createRunObserver } from '../src/run-observer.js'
import { oneTask } from './fixture.js'
import { createRecordingLog } from './log-fixture.js'

const image = 'finder/index:4'

function createTask(changes: Partial<Step> = {}, queue = 'finder'): Task {
  const steps = [{ ...oneTask, image, ...changes }]
  const job = new JobExecution({ id: 'job', queue, payload: '', steps, acceptedAt: 0 })
  job.openDueOccurrences(0)
  const task = job.task(0, 0, 0)
  if (task === undefined) throw new Error('the job has no task')
  return task
}

function createObserver() {
  const runTimes = createRunTimeModel()
  const speeds = createRunnerSpeeds()
  const metrics = createMetrics()
  const session = { rack: 'rack-1', runnerStartedAt: 1 }
  const sessions = new Map([
    ['r1', session],
    ['r2', session],
  ])
  const { log, lines } = createRecordingLog()
  const observer = createRunObserver({ runTimes, speeds, sessions, log, metrics })
  return { runTimes, speeds, metrics, sessions, lines, observer }
}

// Guards against a runner that stays avoided after the restart that repaired it, and against one that is
// slow again and not avoided.
void t.test('a slow runner is noticed, and recovers with a restart', t => {
  const { observer, speeds, sessions, lines } = createObserver()
  const task = createTask()
  for (let run = 0; run < 30; run++) observer.observe('r2', task, 600, 1_000)
  for (let run = 0; run < 20; run++) observer.observe('r1', task, 1_800, 2_000)
  const slow = slownessOf(speeds.factor('r1', 1, 2_000))
  t.ok(slow > 1, `slowness ${slow.toFixed(2)}`)
  t.equal(slownessOf(speeds.factor('r2', 1, 2_000)), 0)
  t.match(lines, [{ message: 'runner is slow, others are preferred', fields: { runner: 'r1' } }])
  sessions.set('r1', { rack: 'rack-1', runnerStartedAt: 2 })
  t.equal(speeds.factor('r1', 2, 2_100), 1, 'at once')
  for (let run = 0; run < 20; run++) observer.observe('r1', task, 700, 3_000)
  t.equal(slownessOf(speeds.factor('r1', 2, 3_000)), 0)
  t.match(lines[1], { message: 'runner is no longer slow', fields: { runner: 'r1' } })
  for (let run = 0; run < 20; run++) observer.observe('r1', task, 3_000, 4_000)
  t.ok(slownessOf(speeds.factor('r1', 2, 4_000)) > 1)
  t.end()
})

// Guards against runners that all seem slow because a new image takes longer than declared.
void t.test('the first runs of an image show nothing of runners', t => {
  const { observer, speeds } = createObserver()
  for (let run = 0; run < 5; run++) observer.observe('r1', createTask(), 1_000, 0)
  t.equal(speeds.factor('r1', 1, 0), 1)
  t.end()
})

// Guards against runners that seem slow because of what they were given: fillers that are slowed down, and
// tasks whose data is in another rack. Without an image, nothing says that tasks are alike.
void t.test('runs that are slow for another reason show nothing of runners and images', t => {
  const { observer, speeds, runTimes } = createObserver()
  for (let run = 0; run < 30; run++) observer.observe('r2', createTask(), 600, 0)
  const kind = { queue: 'finder', image, cpuMillis: 1_000, declaredMs: 100 }
  const before = runTimes.estimate(kind).runs
  for (let run = 0; run < 30; run++) {
    observer.observe('r1', createTask({ isFiller: true }), 3_000, 0)
    observer.observe('r1', createTask({ affinityRack: 'rack-2' }), 3_000, 0)
    observer.observe('r1', createTask({ image: undefined }), 3_000, 0)
  }
  t.equal(speeds.factor('r1', 1, 0), 1)
  t.equal(runTimes.estimate(kind).runs, before)
  observer.observe('gone', createTask({ affinityRack: 'rack-1' }), 600, 0)
  t.equal(runTimes.estimate(kind).runs, before, 'nor where the rack is not known')
  t.end()
})

// Guards against a series for each of thousands of queues, and against ratios shown in another unit.
void t.test('metrics show the factors by queue, for a bounded number of queues', t => {
  const { observer, metrics } = createObserver()
  observer.observe('r1', createTask(), 250, 0)
  t.match(metrics.render(), /bulrush_run_actual_by_declared_sum\{queue="finder"\} 2\.5\n/)
  for (let number = 0; number < 200; number++)
    observer.observe('r1', createTask({}, `queue-${number}`), 250, 0)
  const counts = metrics.render().match(/bulrush_run_actual_by_predicted_count/g) ?? []
  t.equal(counts.length, 65)
  t.match(metrics.render(), /bulrush_run_actual_by_predicted_count\{queue="other"\} 137\n/)
  t.end()
})
