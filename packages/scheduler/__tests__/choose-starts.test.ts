import t from 'tap'
import { chooseStarts } from '../src/index.js'
import { choiceState, createJob, createRunner, step } from './fixture.js'

// Pattern: a queue asks five times its mean for some seconds, more than its pool holds. In order of
// arrival every job would end after its objective, and a late job is worth a fourteenth.
void t.test('under overload work that can be on time goes before work that is late', t => {
  const late = createJob('1', { acceptedAt: -10_000 })
  const timely = createJob('2', { acceptedAt: 0 })
  const free = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 }
  const starts = chooseStarts(choiceState([late, timely], [createRunner('r1', { free })]))
  t.same(
    starts.map(({ task }) => task.step.job.job.id),
    ['2'],
  )
  t.end()
})

// Pattern: a job that waits for its second step must not lose its room to newer jobs.
void t.test('jobs that have begun go before those that have not', t => {
  const begun = createJob('1', { steps: [{ ...step, count: 2 }] })
  const [first] = begun.startable()[0]?.tasks ?? []
  if (first === undefined) throw new Error('the job has no task')
  begun.beginRun(first, 'r9', 1)
  const urgent = createJob('2', { acceptedAt: -300 })
  const free = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 }
  const starts = chooseStarts(choiceState([urgent, begun], [createRunner('r1', { free })]))
  t.same(
    starts.map(({ task }) => task.step.job.job.id),
    ['1'],
  )
  t.end()
})

// Runners start whatever they are told to, so the choice itself must never exceed their room.
void t.test('room of a runner is never exceeded', t => {
  const jobs = Array.from({ length: 20 }, (_, i) =>
    createJob(String(i), { steps: [{ ...step, count: 3 }] }),
  )
  const runners = [createRunner('r1'), createRunner('r2')]
  const starts = chooseStarts(choiceState(jobs, runners))
  t.equal(starts.length, 8)
  t.ok(runners.every(({ free }) => free.cpuMillis >= 0 && free.memoryMb >= 0))
  t.end()
})

void t.test('tasks of one step on one runner stay within their number', t => {
  const job = createJob('1', { steps: [{ ...step, count: 4, maxPerRunner: 1 }] })
  const starts = chooseStarts(choiceState([job], [createRunner('r1'), createRunner('r2')]))
  t.same(starts.map(({ runnerId }) => runnerId).sort(), ['r1', 'r2'])
  t.end()
})

void t.test('a label that a step needs is there', t => {
  const job = createJob('1', { steps: [{ ...step, needs: 'gpu-a' }] })
  const labelled = createRunner('r2', { labels: ['gpu-a'] })
  const starts = chooseStarts(choiceState([job], [createRunner('r1'), labelled]))
  t.same(
    starts.map(({ runnerId }) => runnerId),
    ['r2'],
  )
  t.end()
})

// Guards against a gang of which only some members start: they would wait for the others in vain.
void t.test('a gang starts whole or not at all, and gives its room back', t => {
  const gang = createJob('1', { steps: [{ ...step, count: 5, isGang: true }] })
  const runner = createRunner('r1')
  t.same(chooseStarts(choiceState([gang], [runner])), [])
  t.same(runner.free, runner.capacity)
  t.end()
})

void t.test('an organisation starts nothing beyond its limit', t => {
  const job = createJob('1', { organisation: 'lamps', steps: [{ ...step, count: 4 }] })
  const allowance = new Map([['lamps', { cpuMillis: 2_500, memoryMb: 99_000, accelerators: 0 }]])
  const starts = chooseStarts({ ...choiceState([job], [createRunner('r1')]), allowance })
  t.equal(starts.length, 2)
  t.end()
})

// Pattern: lent machines go back when they are idle; a lasting task would keep them for the day.
void t.test('lasting work avoids lent machines', t => {
  const job = createJob('1', { steps: [{ ...step, isLasting: true }] })
  const busy = createRunner('r1', { free: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 } })
  const starts = chooseStarts(choiceState([job], [createRunner('r2', { isLent: true }), busy]))
  t.same(
    starts.map(({ runnerId }) => runnerId),
    ['r1'],
  )
  t.end()
})

// Found on quiet-1 of lfta-compat: two tasks of a step that may miss one shared a machine, which
// never had its upkeep.
void t.test('tasks of a lasting step go to machines of their own, also to lent ones', t => {
  const job = createJob('1', { steps: [{ ...step, count: 3, isLasting: true, mayMiss: 1 }] })
  const runners = [createRunner('r1'), createRunner('r2'), createRunner('r3', { isLent: true })]
  const starts = chooseStarts(choiceState([job], runners))
  t.same(starts.map(({ runnerId }) => runnerId).sort(), ['r1', 'r2', 'r3'])
  t.end()
})
