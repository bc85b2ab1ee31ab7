import {
  createRunnerFailureTracker,
  JobExecution,
  type ReportedEnd,
  type JobQueue,
} from '@bulrushbridge/scheduler'
import t from 'tap'
import { createAllocation, type Allocation } from '../src/allocation.js'
import { applyEnd } from '../src/run-ends.js'
import { createFleet, oneTask } from './fixture.js'

const id = '00000000000000c1'
const task = `${id}.0.0.0`

function createContext() {
  const job = new JobExecution({
    id,
    queue: 'finder',
    payload: '',
    steps: [oneTask],
    acceptedAt: 0,
  })
  job.openDueOccurrences(0)
  const [queue] = createFleet().cfg.queues as [JobQueue]
  const ctx = {
    jobs: new Map([[id, job]]),
    queueOf: () => queue,
    runnerFailures: createRunnerFailureTracker(),
    onRunDone: () => undefined,
    wallNow: () => 0,
  }
  const begin = () => {
    const taskState = job.task(0, 0, 0)
    if (taskState === undefined) throw new Error('the job has no task')
    job.beginRun(taskState, 'r1', 1)
    return taskState
  }
  return { job, ctx, begin }
}

const failed = (run: number): ReportedEnd => ({
  number: run,
  task,
  run,
  how: 'failed',
  checkpoint: '',
})

// Guards against counting a failure twice: a job failed after two of three allowed failures,
// because the next dispatcher counted an end again that the previous one had stored but not
// acknowledged.
void t.test('a failure that is listed again counts once', t => {
  const { job, ctx, begin } = createContext()
  const taskState = begin()
  applyEnd(ctx, 'r1', failed(1), undefined)
  const restored = new JobExecution(job.definition, job.encode())
  const nextCtx = { ...ctx, jobs: new Map([[id, restored]]) }
  applyEnd(nextCtx, 'r1', failed(1), undefined)
  t.equal(restored.task(0, 0, 0)?.failures, 1)
  t.equal(taskState.failures, 1)
  t.equal(restored.status, 'running')
  t.end()
})

// Guards against more attempts than the queue allows: an end that is listed late, after its run was
// given up, counts as a failure.
void t.test('the failure of a run that was given up counts', t => {
  const { job, ctx, begin } = createContext()
  const taskState = begin()
  job.abandonRun(taskState)
  begin()
  applyEnd(ctx, 'r1', failed(1), undefined)
  t.equal(taskState.failures, 1)
  t.equal(taskState.run?.number, 2)
  t.end()
})

// Guards against TWICE: the numbers of runs that were given up are not stored, so after a takeover the
// end of such a run was acknowledged and ignored although it was done, and the task ran again.
void t.test('a run that was given up before a takeover completes its task', t => {
  const { job, ctx, begin } = createContext()
  job.abandonRun(begin())
  begin()
  const restored = new JobExecution(job.definition, job.encode())
  const nextCtx = { ...ctx, jobs: new Map([[id, restored]]) }
  const done: ReportedEnd = { number: 1, task, run: 1, how: 'done', checkpoint: '' }
  const { runToStop } = applyEnd(nextCtx, 'r2', done, undefined)
  t.equal(restored.status, 'completed')
  t.equal(runToStop?.task, task)
  t.equal(runToStop?.run.number, 2)
  t.end()
})

// Guards against learning from too short times after a takeover: a run of the earlier term is confirmed
// when its runner first lists it, not when it began.
void t.test('only the time of runs that were ordered in this term is learned', t => {
  const observed: number[] = []
  const endRun = (changes: Partial<Allocation>) => {
    const { ctx, begin } = createContext()
    const allocation = { ...createAllocation(begin(), 1), ...changes }
    const onRunDone = (_runnerId: string, _task: unknown, ms: number) => observed.push(ms)
    const done: ReportedEnd = { ...failed(1), how: 'done' }
    applyEnd({ ...ctx, onRunDone }, 'r1', done, allocation)
  }
  const confirmedAt = performance.now() - 5_000
  endRun({ confirmedAt })
  t.same(observed, [])
  endRun({ confirmedAt, orderedAt: confirmedAt - 10 })
  t.equal(observed.length, 1)
  t.ok((observed[0] ?? 0) >= 5_000)
  t.end()
})
