import { createRunTimeModel } from '@bulrushbridge/run-times'
import t from 'tap'
import { chooseStarts, createRunTimeEstimator, slownessOf, urgencyOf } from '../src/index.js'
import { createInput, createJob, createRunner, queue, step } from './fixture.js'

const image = 'finder/index:4'

/** A model that has learned that tasks of the image take 4 s, whatever is declared. */
function createModel() {
  const model = createRunTimeModel()
  const run = { queue: queue.name, image, cpuMillis: 1_000, declaredMs: 1_000, ms: 4_000 }
  for (let count = 0; count < 60; count++) model.observe(run)
  return model
}

// Guards against an order by declared estimates, which are off by up to 90%: a job that takes four times
// as long as declared would start too late.
void t.test('the order of steps follows what was learned of their image', t => {
  const model = createModel()
  const long = createJob('long', {
    steps: [
      { ...step, image },
      { ...step, image, after: [0] },
    ],
  })
  const other = createJob('other', { steps: [step, { ...step, after: [0] }] })
  const slackOf = (job: typeof long) => {
    const [execution] = job.startableSteps()
    if (execution === undefined) throw new Error('no step can start')
    return urgencyOf(execution, queue, model, 0).slackMs
  }
  // The whole path is the stretch times as long, so the slack is (1.6 - 1) times 8 s and 600 ms.
  t.ok(Math.abs(slackOf(long) - (0.6 * 8_000 + 600)) < 300, `slack ${slackOf(long).toFixed(0)} ms`)
  t.ok(slackOf(other) < slackOf(long))
  t.end()
})

// Guards against another order in deployments whose jobs name no image.
void t.test('steps without an image are ordered as by the mean of their queue', t => {
  const model = createRunTimeModel()
  const estimator = createRunTimeEstimator()
  for (const ms of [900, 1_400, 7_000, 800, 950]) {
    model.observe({ queue: queue.name, cpuMillis: 1_000, declaredMs: 1_000, ms })
    estimator.observe(queue.name, ms)
  }
  for (const steps of [[step], [step, { ...step, estimateMs: 300, after: [0] }]]) {
    const [execution] = createJob('job', { steps }).startableSteps()
    if (execution === undefined) throw new Error('no step can start')
    t.same(urgencyOf(execution, queue, model, 50), urgencyOf(execution, queue, estimator, 50))
  }
  t.end()
})

// Guards against filling a slow runner because a task fits best there.
void t.test('a slow runner is used only where no other has room', t => {
  const half = { cpuMillis: 2_000, memoryMb: 4_000, accelerators: 0 }
  const slow = createRunner('slow', { free: half, slowness: slownessOf(2) })
  const jobs = [createJob('job', { steps: [{ ...step, count: 5 }] })]
  const starts = chooseStarts(createInput(jobs, [slow, createRunner('usual')]))
  t.same(
    starts.map(({ runnerId }) => runnerId),
    ['usual', 'usual', 'usual', 'usual', 'slow'],
  )
  t.end()
})

// Guards against a slow runner that outweighs what costs more: the runner on which the task failed, and
// interference with a serving task.
void t.test('slowness is outweighed by the other costs', t => {
  const slowest = slownessOf(100)
  t.ok(slowest > slownessOf(2) && slowest + 1 < 10)
  t.equal(slownessOf(1.1), 0, 'the spread of run times makes no difference')
  t.equal(slownessOf(0.3), 0, 'fast runners are not preferred')
  const filler = { ...step, isFiller: true }
  const input = createInput(
    [createJob('job', { steps: [filler] })],
    [createRunner('serving', { servingTasks: 1 }), createRunner('slow', { slowness: slowest })],
  )
  t.equal(chooseStarts(input)[0]?.runnerId, 'slow')
  t.end()
})
