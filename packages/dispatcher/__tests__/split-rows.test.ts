import {
  maxCrashes,
  type JobDefinition,
  type JobExecution,
  type Task,
} from '@bulrushbridge/scheduler'
import t from 'tap'
import { oneTask, queueName } from './fixture.js'
import {
  beginAll,
  createSplitPlay,
  fail,
  finish,
  type SplitPlay,
  type WriteFault,
} from './split-rows-fixture.js'

interface Scenario {
  steps: JobDefinition['steps']
  schedule?: JobDefinition['schedule']
  /** Brings the job to the state that is stored before the write under test. */
  prepare: (play: SplitPlay) => Promise<void>
  /** The changes of the write under test. */
  change: (job: JobExecution) => void
  /** Changes that come while the write under test has failed and waits for another try. */
  changeLater?: (job: JobExecution) => void
}

const id = '00000000000000f1'
const stepsOf = (count: number, tasks = 1) =>
  Array.from({ length: count }, () => ({ ...oneTask, count: tasks }))

async function beginAndWrite(play: SplitPlay): Promise<void> {
  beginAll(play.job)
  await play.write()
}

/** The first task of each step; its end completes no step of two tasks. */
const isFirst = ({ index }: Task) => index === 0
const isInStepBelow = (limit: number) => (task: Task) => task.step.number < limit

function crash(job: JobExecution, task: Task): void {
  job.recordCrash(task)
  if (task.crashes >= maxCrashes) job.end('failed', 1)
  job.abandonRun(task)
}

const firstTask = (job: JobExecution): Task => {
  const task = job.task(0, 0, 0)
  if (task === undefined) throw new Error('the job has no task')
  return task
}

const scenarios: Record<string, Scenario> = {
  'the first starts': {
    steps: stepsOf(270),
    prepare: () => Promise.resolve(),
    change: beginAll,
    changeLater: job => {
      for (const task of [...job.tasksWithRun()].slice(0, 100)) job.abandonRun(task)
    },
  },
  'starts after earlier ones': {
    steps: [...stepsOf(130), ...stepsOf(130).map((step, n) => ({ ...step, after: [n] }))],
    prepare: async play => {
      await beginAndWrite(play)
      finish(play.job)
      await play.write()
    },
    change: beginAll,
  },
  'ends of steps': {
    steps: [...stepsOf(200, 2), { ...oneTask, after: [0] }],
    prepare: async play => {
      await beginAndWrite(play)
      finish(play.job, isFirst)
      await play.write()
    },
    change: job => {
      finish(job, isInStepBelow(190))
    },
    changeLater: job => {
      finish(job)
    },
  },
  'ends of steps of several blocks': {
    steps: [...stepsOf(2, 6_200), oneTask],
    prepare: beginAndWrite,
    change: job => {
      finish(job, isInStepBelow(1))
      finish(job, ({ step, index }) => step.number === 1 && index !== 77)
    },
    changeLater: job => {
      finish(job, isInStepBelow(2))
    },
  },
  'ends of steps and starts of those after them': {
    steps: [...stepsOf(130), ...stepsOf(130).map((step, n) => ({ ...step, after: [n] })), oneTask],
    prepare: beginAndWrite,
    change: job => {
      finish(job, isInStepBelow(110))
      beginAll(job)
    },
    changeLater: job => {
      finish(job, isInStepBelow(130))
      beginAll(job)
    },
  },
  'a failure of the job': {
    steps: stepsOf(200, 2),
    prepare: async play => {
      await beginAndWrite(play)
      fail(play.job, firstTask(play.job))
      await beginAndWrite(play)
    },
    change: job => {
      fail(job, firstTask(job))
      finish(job, isInStepBelow(100))
      for (const task of [...job.tasksWithRun()].slice(0, 95)) fail(job, task)
    },
    changeLater: job => {
      for (const task of [...job.tasksWithRun()]) job.clearRun(task)
    },
  },
  'a job that fails because its task crashes runners': {
    steps: stepsOf(270),
    prepare: async play => {
      await beginAndWrite(play)
      for (let n = 1; n < maxCrashes; n++) {
        crash(play.job, firstTask(play.job))
        await beginAndWrite(play)
      }
    },
    change: job => {
      crash(job, firstTask(job))
      for (const task of [...job.tasksWithRun()].slice(0, 95)) crash(job, task)
    },
  },
  'a cancellation': {
    steps: stepsOf(200, 2),
    prepare: beginAndWrite,
    change: job => {
      finish(job, isInStepBelow(100))
      job.end('cancelled', 1)
      for (const task of [...job.tasksWithRun()].slice(0, 95)) job.clearRun(task)
    },
    changeLater: job => {
      for (const task of [...job.tasksWithRun()]) job.clearRun(task)
    },
  },
  'the last write': {
    steps: stepsOf(270),
    prepare: beginAndWrite,
    change: job => {
      finish(job)
    },
  },
  'the last write after a cancellation': {
    steps: stepsOf(270),
    prepare: async play => {
      await beginAndWrite(play)
      play.job.end('cancelled', 1)
      await play.write()
    },
    change: job => {
      for (const task of [...job.tasksWithRun()]) job.clearRun(task)
    },
  },
  'occurrences that are complete and others that open': {
    steps: stepsOf(1),
    schedule: { occurrences: 600, firstAt: 0, intervalMs: 1 },
    prepare: async play => {
      play.job.openDueOccurrences(300)
      await beginAndWrite(play)
    },
    change: job => {
      finish(job, ({ step }) => step.occurrence < 120)
      job.openDueOccurrences(400)
      beginAll(job)
    },
    changeLater: job => {
      finish(job, ({ step }) => step.occurrence < 250)
    },
  },
  'a job that outgrows its own row': {
    steps: stepsOf(1),
    schedule: { occurrences: 600, firstAt: 0, intervalMs: 1 },
    prepare: async play => {
      play.job.openDueOccurrences(200)
      await beginAndWrite(play)
      finish(play.job, ({ step }) => step.occurrence % 2 === 0)
      await play.write()
    },
    change: job => {
      finish(job, ({ step }) => step.occurrence % 3 === 0)
      job.openDueOccurrences(450)
      beginAll(job)
    },
    changeLater: job => {
      // Only runs whose record was answered can have been ordered, and have ended.
      finish(job, ({ step }) => step.occurrence < 200 && step.occurrence % 5 === 0)
    },
  },
  'a gang that starts beside other steps': {
    steps: [...stepsOf(93), { ...oneTask, count: 300, isGang: true }],
    prepare: () => Promise.resolve(),
    change: beginAll,
  },
}

async function createPrepared({ steps, schedule, prepare, change }: Scenario): Promise<SplitPlay> {
  const definition: JobDefinition = {
    id,
    queue: queueName,
    payload: '',
    steps,
    acceptedAt: 0,
    ...(schedule === undefined ? {} : { schedule }),
  }
  const play = await createSplitPlay(definition)
  play.job.openDueOccurrences(0)
  await prepare(play)
  change(play.job)
  return play
}

async function writeChange(scenario: Scenario, fault?: { at: number; kind: WriteFault }) {
  const play = await createPrepared(scenario)
  try {
    const { job } = play
    const whileFailed = () => scenario.changeLater?.(job)
    await play.write(fault === undefined ? undefined : { ...fault, whileFailed })
    const { transactionCount, breaches } = play
    const isOver = job.hasEnded && !job.hasRuns
    const left = isOver && (await play.blockCount()) > 0 ? ['blocks are left'] : []
    return { transactionCount, breaches: [...breaches, ...left] }
  } finally {
    await play.close()
  }
}

for (const [name, scenario] of Object.entries(scenarios)) {
  // Guards against TWICE, BUDGET and LOST: a dispatcher was killed between two transactions of one job,
  // and the next one read rows of which some were older than others.
  void t.test(`after each transaction the job is whole: ${name}`, async t => {
    const { transactionCount, breaches } = await writeChange(scenario)
    t.ok(transactionCount > 1, 'the rows fill several transactions')
    t.same(breaches.slice(0, 5), [])
  })

  // Guards against the same when a transaction fails and the job is written again with later changes.
  void t.test(`after each transaction of a repeated write the job is whole: ${name}`, async t => {
    const { transactionCount } = await writeChange(scenario)
    for (const kind of ['refused', 'answer-lost'] as const) {
      for (let at = 1; at <= transactionCount; at++) {
        const { breaches } = await writeChange(scenario, { at, kind })
        t.same(breaches.slice(0, 5), [], `${kind} at transaction ${at}`)
      }
    }
  })
}

const earlyDeletions = [
  'ends of steps',
  'ends of steps of several blocks',
  'occurrences that are complete and others that open',
]
for (const name of earlyDeletions) {
  // Guards against TWICE after an upgrade: earlier builds deleted blocks some transactions before the own row
  // said that their steps were done, and what they left was taken for tasks that had not begun.
  void t.test(`blocks that earlier builds have deleted start no task: ${name}`, async t => {
    const scenario = scenarios[name]
    if (scenario === undefined) throw new Error(`there is no scenario ${name}`)
    const play = await createPrepared(scenario)
    t.teardown(() => play.close())
    await play.deleteBlocksFirst()
    t.ok(play.transactionCount > 40, 'blocks were deleted')
    t.same(play.breaches.slice(0, 5), [])
  })
}
