import {
  createGuaranteedWork,
  JobExecution,
  partOf,
  progressTable,
  type Progress,
  type Step,
} from '@bulrushbridge/scheduler'
import { createMemoryStore } from '@bulrushbridge/standins'
import { createLogger } from '@bulrushbridge/telemetry'
import t from 'tap'
import { createAllocation, type Allocation } from '../src/allocation.js'
import { createOrganisationUsage } from '../src/organisation-usage.js'
import { readProgress, type EarlierProgress } from '../src/read-progress.js'
import { oneTask } from './fixture.js'

function createAllocations(queue: string, organisation: string, step: Step): Allocation[] {
  const job = new JobExecution({
    id: `${queue}-${organisation}`,
    queue,
    organisation,
    payload: '',
    steps: [step],
    acceptedAt: 0,
  })
  job.openDueOccurrences(0)
  return job
    .startableSteps()
    .flatMap(({ tasks }) => [...tasks].map(task => createAllocation(task, 1)))
}

// Guards against shares of a pool that count runs of other pools, and against sums that never shrink.
void t.test('usage is summed up by organisation and queue', t => {
  const usage = createOrganisationUsage()
  const finite = createAllocations('checks', 'org-1', { ...oneTask, count: 3 })
  const lasting = createAllocations('checks', 'org-1', { ...oneTask, isLasting: true })
  const other = createAllocations('verdicts', 'org-1', oneTask)
  for (const allocation of [...finite, ...lasting, ...other]) usage.add(allocation, 1)
  const cores = () =>
    [...usage.byQueue()].map(({ organisation, queue, amounts, lasting: held }) => [
      organisation,
      queue,
      amounts.cpuMillis,
      held.cpuMillis,
    ])
  t.same(cores(), [
    ['org-1', 'checks', 4_000, 1_000],
    ['org-1', 'verdicts', 1_000, 0],
  ])
  for (const allocation of [...finite, ...other]) usage.add(allocation, -1)
  t.same(cores(), [['org-1', 'checks', 1_000, 1_000]])
  t.end()
})

// Guards against a new dispatcher that knows nothing of ended jobs: it would take the jobs which an
// organisation sent beyond its rate for guaranteed ones.
void t.test('a new dispatcher counts jobs that have ended', async t => {
  const acceptedAt = 60_000
  const store = createMemoryStore()
  const end = (id: string): Progress => {
    const definition = {
      id,
      queue: 'checks',
      organisation: 'org-1',
      payload: '',
      steps: [oneTask],
      acceptedAt,
    }
    const job = new JobExecution(definition)
    job.end('completed', acceptedAt + 10)
    return job.takeState().progress
  }
  for (const id of ['job-1', 'job-2']) {
    const write = { table: progressTable, part: partOf(id), key: id, value: end(id) }
    await store.commit({ checks: [], writes: [write] }, { part: partOf(id) })
  }
  const guaranteed = createGuaranteedWork()
  const log = createLogger({ program: 'test', level: 'silent' })
  const found: EarlierProgress = new Map()
  await readProgress({ store, log }, found, guaranteed, acceptedAt + 10)
  t.equal(found.size, 0)
  const open = { id: 'job-3', organisation: 'org-1', acceptedAt }
  guaranteed.noteAccepted(open)
  t.notOk(guaranteed.isGuaranteed(open, 2, acceptedAt))
  t.ok(guaranteed.isGuaranteed(open, 3, acceptedAt))
})
