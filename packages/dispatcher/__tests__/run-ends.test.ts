import {
  createRunnerHealth,
  createRunTimes,
  JobState,
  type ListedEnd,
  type Queue,
} from '@bulrushbridge/scheduler'
import t from 'tap'
import { applyEnd } from '../src/run-ends.js'
import { createFleet, oneTask } from './fixture.js'

const id = '00000000000000c1'
const task = `${id}.0.0.0`

function createContext() {
  const job = new JobState({ id, queue: 'finder', payload: '', steps: [oneTask], acceptedAt: 0 })
  job.openDue(0)
  const [queue] = createFleet().cfg.queues as [Queue]
  const ctx = {
    jobs: new Map([[id, job]]),
    queueOf: () => queue,
    health: createRunnerHealth(),
    times: createRunTimes(),
    wallNow: () => 0,
  }
  const begin = () => {
    const found = job.task(0, 0, 0)
    if (found === undefined) throw new Error('the job has no task')
    job.beginRun(found, 'r1', 1)
    return found
  }
  return { job, ctx, begin }
}

const failed = (run: number): ListedEnd => ({
  number: run,
  task,
  run,
  how: 'failed',
  checkpoint: '',
})

// Found on lfta-compat, trouble-3: a job was shown as failed after two failures of three, because
// the next dispatcher counted the end again that the last one had stored and not acknowledged.
void t.test('a failure that is listed again counts once', t => {
  const { job, ctx, begin } = createContext()
  const found = begin()
  applyEnd(ctx, 'r1', failed(1), undefined)
  const restored = new JobState(job.job, job.encode())
  const after = { ...ctx, jobs: new Map([[id, restored]]) }
  applyEnd(after, 'r1', failed(1), undefined)
  t.equal(restored.task(0, 0, 0)?.failures, 1)
  t.equal(found.failures, 1)
  t.equal(restored.status, 'running')
  t.end()
})

// Guards against more attempts than the queue allows: the late end of a run given up counts.
void t.test('the failure of a run that was given up counts', t => {
  const { job, ctx, begin } = createContext()
  const found = begin()
  job.giveUpRun(found)
  begin()
  applyEnd(ctx, 'r1', failed(1), undefined)
  t.equal(found.failures, 1)
  t.equal(found.run?.number, 2)
  t.end()
})
