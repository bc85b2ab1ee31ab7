import t from 'tap'
import { JobExecution, progressSchema } from '../src/index.js'
import { createJob, step } from './fixture.js'

// The next dispatcher continues from the stored progress, so runs must keep their numbers and
// runners.
void t.test('the next dispatcher restores the progress of a job', t => {
  const job = createJob('1', {
    steps: [
      { ...step, count: 3 },
      { ...step, after: [0] },
    ],
  })
  const [first, second] = job.startableSteps()[0]?.tasks ?? []
  if (first === undefined || second === undefined) throw new Error('the job has too few tasks')
  job.beginRun(first, 'r1', 5)
  job.markDone(first, 1, 0)
  job.beginRun(second, 'r2', 7)
  const stored = progressSchema.parse(JSON.parse(JSON.stringify(job.encode())))
  const restored = new JobExecution(job.definition, stored)
  t.equal(restored.status, 'running')
  t.ok(restored.task(0, 0, 0)?.isDone)
  const run = { number: 1, runnerId: 'r2', runnerStartedAt: 7, isOrdered: true }
  t.same(restored.task(0, 0, 1)?.run, run)
  t.equal(restored.startableSteps()[0]?.pendingCount, 1)
  t.same(restored.encode(), job.encode())
  t.end()
})

void t.test('a job is completed when the tasks of all occurrences are done', t => {
  const job = createJob('1', { schedule: { occurrences: 2, firstAt: 0, intervalMs: 1_000 } })
  const finishOccurrence = (number: number) => {
    const task = job.task(number, 0, 0)
    if (task === undefined) throw new Error('the occurrence is not open')
    job.beginRun(task, 'r1', 1)
    job.markDone(task, 1, 0)
  }
  finishOccurrence(0)
  t.equal(job.status, 'running')
  t.equal(job.startableSteps().length, 0)
  job.openDueOccurrences(1_000)
  finishOccurrence(1)
  t.equal(job.status, 'completed')
  t.end()
})

// Guards against tasks that start before their occurrence is due.
void t.test('an occurrence opens when it is due and not before', t => {
  const job = createJob('1', { schedule: { occurrences: 2, firstAt: 500, intervalMs: 1_000 } })
  t.equal(job.startableSteps().length, 0)
  job.openDueOccurrences(499)
  t.equal(job.startableSteps().length, 0)
  job.openDueOccurrences(500)
  t.equal(job.startableSteps().length, 1)
  t.end()
})

// Guards against a job that takes all memory of each dispatcher in turn: a caller may send any number
// of repetitions, all due at once.
void t.test('only some of very many due occurrences are open at once', t => {
  const job = createJob('1', {
    steps: [{ ...step, count: 10_000 }],
    schedule: { occurrences: 12, firstAt: 0, intervalMs: 0 },
  })
  job.openDueOccurrences(1)
  t.equal(job.openOccurrences.size, 10)
  t.equal(job.openDueOccurrences(1), false)
  for (const task of job.openOccurrences.get(3)?.steps[0]?.tasks ?? []) job.markDone(task, 1, 1)
  t.equal(job.openDueOccurrences(1), true)
  t.equal(job.openOccurrences.size, 10)
  t.ok(job.openOccurrences.has(10))
  t.end()
})

void t.test('a very long schedule without intervals opens in portions', t => {
  const job = createJob('1', {
    schedule: { occurrences: 1_000_000, firstAt: 0, intervalMs: 0 },
  })
  t.equal(job.openOccurrences.size, 1_000)
  t.end()
})

void t.test('an occurrence with very many tasks opens alone', t => {
  const job = createJob('1', {
    steps: Array.from({ length: 11 }, () => ({ ...step, count: 10_000 })),
    schedule: { occurrences: 2, firstAt: 0, intervalMs: 0 },
  })
  job.openDueOccurrences(1)
  t.strictSame([...job.openOccurrences.keys()], [0])
  t.end()
})

// Guards against members of a gang that never run: the gang counted as done while most of its start orders
// still waited to be sent.
void t.test('an end of a gang stands only for members that were ordered', t => {
  const job = createJob('1', { steps: [{ ...step, count: 3, isGang: true }] })
  const tasks = [...(job.startableSteps()[0]?.tasks ?? [])]
  const [first, second, third] = tasks
  if (first === undefined || second === undefined || third === undefined)
    throw new Error('the gang has too few tasks')
  for (const task of tasks) job.beginRun(task, 'r1', 1)
  for (const task of [first, second]) if (task.run !== undefined) task.run.isOrdered = true
  job.markDone(first, 1, 0)
  t.same(
    tasks.map(({ isDone }) => isDone),
    [true, true, false],
  )
  t.equal(job.status, 'running')
  if (third.run !== undefined) third.run.isOrdered = true
  job.markDone(third, 1, 0)
  t.equal(job.status, 'completed')
  t.end()
})

// Guards against a gang that is not done although one of its runs was: its later run was given up or had
// not been ordered when the end of the earlier run was read.
void t.test('an end of an earlier run of a gang stands for all members', t => {
  const job = createJob('1', { steps: [{ ...step, count: 3, isGang: true }] })
  const tasks = [...(job.startableSteps()[0]?.tasks ?? [])]
  const [first] = tasks
  if (first === undefined) throw new Error('the gang has no task')
  for (const task of tasks) job.beginRun(task, 'r1', 1)
  for (const task of tasks) job.abandonRun(task)
  for (const task of tasks) job.beginRun(task, 'r1', 1)
  job.markDone(first, 1, 0)
  t.equal(job.status, 'completed')
  t.end()
})

// Guards against a job that counts as done although a step of it never ran: a takeover takes a step for done
// that is stored as begun and of which no block is stored.
void t.test('a step is stored as begun only if a task of it has begun', t => {
  const job = createJob('1', { steps: [{ ...step, count: 300 }, step] })
  const [task] = job.startableSteps()[0]?.tasks.pending() ?? []
  if (task === undefined) throw new Error('the job has no task')
  job.beginRun(task, 'r1', 1)
  // A runner reports a run that was never recorded.
  t.ok(job.task(0, 1, 0))
  const { progress, blocks } = job.takeState()
  t.same(progress.steps, { 0: '20' })
  t.same(
    blocks.map(({ key }) => key),
    ['0.0.0'],
  )
  t.end()
})

// Guards against the same for a task that has begun before those below it.
void t.test('a block above others that are missing is no sign of a step that is done', t => {
  const job = createJob('1', { steps: [{ ...step, count: 300 }] })
  const task = job.task(0, 0, 200)
  if (task === undefined) throw new Error('the job has no task')
  job.beginRun(task, 'r1', 1)
  const { progress, blocks } = job.takeState()
  t.same(
    blocks.map(({ key }) => key),
    ['0.0.1'],
  )
  const restored = new JobExecution(job.definition, progress, blocks)
  t.same(restored.stepsWithLostBlocks, [])
  t.equal(restored.startableSteps()[0]?.pendingCount, 299)
  t.end()
})
