import t from 'tap'
import { chooseStarts, type JobExecution } from '../src/index.js'
import { createInput, createJob, createRunner, step } from './fixture.js'

function withCrashes(job: JobExecution, crashes: number): JobExecution {
  for (const { tasks } of job.startableSteps())
    for (const task of tasks) for (let n = 0; n < crashes; n++) job.recordCrash(task)
  return job
}

// Guards against a gang that waits for ever: more members than the runners may have suspects.
void t.test('a gang under which two runners crashed starts again on one runner', t => {
  const gang = createJob('gang', { steps: [{ ...step, count: 2, isGang: true }] })
  t.equal(chooseStarts(createInput([withCrashes(gang, 2)], [createRunner('r1')])).length, 2)
  t.end()
})

void t.test('a gang of five under which one runner crashed starts again', t => {
  const amounts = { ...step.amounts, cpuMillis: 500 }
  const gang = createJob('gang', { steps: [{ ...step, amounts, count: 5, isGang: true }] })
  t.equal(chooseStarts(createInput([withCrashes(gang, 1)], [createRunner('r1')])).length, 5)
  t.end()
})

// Guards against a pool that starts nothing because a suspect waits for its organisation's limit.
void t.test('a suspect that its organisation may not start keeps no runner free', t => {
  const suspect = withCrashes(createJob('suspect', { organisation: 'lamps' }), 3)
  const allowance = new Map([['lamps', { cpuMillis: 0, memoryMb: 0, accelerators: 0 }]])
  const input = createInput([suspect, createJob('1')], [createRunner('r1')])
  t.equal(chooseStarts({ ...input, allowance }).length, 1)
  t.end()
})

// Guards against one runner that is kept free by each of many suspects.
void t.test('suspects that must run alone leave runners of a busy pool to other tasks', t => {
  const suspects = [1, 2, 3].map(n => withCrashes(createJob(`s${n}`), 3))
  const runners = [1, 2, 3].map(n => createRunner(`r${n}`, { finiteTasks: 1 }))
  t.equal(chooseStarts(createInput([...suspects, createJob('1')], runners)).length, 1)
  t.end()
})
