import t, { type Test } from 'tap'
import { createTableStandin, seededRandom } from '@bulrushbridge/standins'
import { createGroupCommitter, createHttpTableService } from '@bulrushbridge/store'
import {
  createJobService,
  jobKey,
  storedJobsTable,
  jobTransition,
  queuedRange,
  queuedTable,
  type StoredJob,
  type StoredJobState,
  type QueuedJob,
} from '../src/index.js'

const jobOptions = {
  team: 'a',
  queue: 'q.1',
  idempotent: false,
  urgent: false,
  request: { cpus: 1, memoryMb: 64, accelerators: 0, runMs: 50 },
  payload: { sheet: 1 },
}

async function setup(t: Test) {
  const standin = await createTableStandin()
  const table = createHttpTableService({ url: standin.url })
  const committer = createGroupCommitter({ table, windowMs: 2, maxRows: 200 })
  const jobs = createJobService({ table, committer, member: 'e1' })
  t.teardown(async () => {
    await committer.close()
    await table.close()
    await standin.close()
  })
  const queued = async () =>
    (await table.scan<QueuedJob>(queuedTable, queuedRange('q.1'))).map(row => row.value.id)
  const changeState = async (id: string, to: StoredJobState) => {
    const row = await table.read<StoredJob>(storedJobsTable, jobKey('a', id))
    if (row === undefined) throw new Error('the job does not exist')
    return table.commit(jobTransition(row, to))
  }
  const acceptMany = (count: number) =>
    Promise.all(Array.from({ length: count }, (_, n) => jobs.accept({ ...jobOptions, payload: n })))
  return { standin, table, jobs, queued, changeState, acceptMany }
}

void t.test('a repeated acceptance returns the same job, also after lost responses', async t => {
  const { standin, jobs, queued } = await setup(t)
  const keyedOptions = { ...jobOptions, idempotencyKey: 'k' }
  standin.faults.loseAnswers = { next: 2 }
  const ids = await Promise.all([1, 2, 3].map(() => jobs.accept(keyedOptions)))
  t.equal(new Set(ids).size, 1)
  t.same(await queued(), [ids[0]])
  t.same(await jobs.getPayload({ team: 'a', id: ids[0] ?? '' }), { sheet: 1 })
  const other = jobs.accept({ ...keyedOptions, payload: { sheet: 2 } })
  await t.rejects(other, { name: 'RequestError', kind: 'idempotency-key-reused' })
})

void t.test('an acceptance that times out in a store outage has an unknown outcome', async t => {
  const { standin, jobs } = await setup(t)
  standin.faults.silent = true
  const accept = jobs.accept({ ...jobOptions, deadline: performance.now() + 150 })
  await t.rejects(accept, { name: 'RequestError', kind: 'store-unavailable', outcome: 'unknown' })
})

void t.test('a claim concurrent with a cancellation never starts a cancelled job', async t => {
  const { standin, jobs, queued, changeState, acceptMany } = await setup(t)
  const ids = await acceptMany(120)
  const random = seededRandom(31)
  standin.faults.loseAnswers = { probability: 0.05, seed: 32 }
  const claimed = new Set<string>()
  const claims = ids
    .filter(() => random() < 0.5)
    .map(async id => {
      const result = await changeState(id, 'starting').catch(() => ({ committed: false }))
      if (result.committed) claimed.add(id)
    })
  const [result] = await Promise.all([jobs.cancel({ team: 'a', ids }), ...claims])
  standin.faults.loseAnswers = { next: 0 }
  const retried = await jobs.cancel({ team: 'a', ids: result.unsettled })
  const cancelled = [...result.cancelled, ...retried.cancelled]
  t.ok(cancelled.length > 0 && claimed.size > 0)
  t.ok(cancelled.every(id => !claimed.has(id)))
  t.same(await queued(), [])
  for (const id of claimed) t.equal((await jobs.get({ team: 'a', id }))?.state, 'cancelling')
  await t.rejects(changeState(cancelled[0] ?? '', 'starting'), RangeError)
})

void t.test('a queue is cancelled in few writes, also when responses are lost', async t => {
  const { standin, jobs, queued, acceptMany } = await setup(t)
  await acceptMany(1_200)
  const other = await jobs.accept({ ...jobOptions, queue: 'q' })
  const before = standin.counters().writes
  standin.faults.loseAnswers = { probability: 0.02, seed: 8 }
  let after: string | undefined
  do {
    const from = after === undefined ? {} : { after }
    const result = await jobs.cancel({ team: 'a', queue: 'q.1', all: true, ...from })
    after = result.next
  } while (after !== undefined)
  t.same(await queued(), [])
  t.ok(standin.counters().writes - before <= 40)
  t.equal((await jobs.get({ team: 'a', id: other }))?.state, 'queued')
})

void t.test('another team neither sees nor cancels a job', async t => {
  const { jobs } = await setup(t)
  const id = await jobs.accept(jobOptions)
  t.equal(await jobs.get({ team: 'b', id }), undefined)
  t.same((await jobs.cancel({ team: 'b', ids: [id] })).unknown, [id])
  t.same(await jobs.list({ team: 'b', queue: 'q.1', limit: 5 }), { jobs: [] })
})

void t.test('pages list each job of a state once, and urgent jobs are queued first', async t => {
  const { jobs, queued, changeState, acceptMany } = await setup(t)
  const ids = await acceptMany(9)
  await changeState(ids[4] ?? '', 'starting')
  const urgent = await jobs.accept({ ...jobOptions, urgent: true })
  const seen: string[] = []
  let page = await jobs.list({ team: 'a', queue: 'q.1', state: 'queued', limit: 4 })
  seen.push(...page.jobs.map(job => job.id))
  while (page.next !== undefined) {
    const after = page.next
    page = await jobs.list({ team: 'a', queue: 'q.1', state: 'queued', after, limit: 4 })
    seen.push(...page.jobs.map(job => job.id))
  }
  t.same(seen.sort(), [...ids.filter(id => id !== ids[4]), urgent].sort())
  t.equal((await queued())[0], urgent)
})

void t.test('a non-idempotent job that ran is not queued again', async t => {
  const { jobs, changeState } = await setup(t)
  const id = await jobs.accept(jobOptions)
  await changeState(id, 'starting')
  await changeState(id, 'running')
  await t.rejects(changeState(id, 'queued'), RangeError)
  t.same(await changeState(id, 'lost'), { committed: true })
})
