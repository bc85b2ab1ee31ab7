import { RequestError } from '@bulrushbridge/errors'
import {
  acceptedJobsTable,
  partOf,
  progressTable,
  type JobDefinition,
} from '@bulrushbridge/scheduler'
import { createMemoryStore } from '@bulrushbridge/standins'
import t from 'tap'
import { createJobAcceptor } from '../src/index.js'

const job: JobDefinition = {
  id: '00000000000000a1',
  queue: 'finder',
  payload: '',
  steps: [{ count: 1, amounts: { cpuMillis: 1, memoryMb: 1, accelerators: 0 }, estimateMs: 1 }],
  acceptedAt: 0,
}
const part = partOf(job.id)

function deadlineIn(ms: number): number {
  return performance.now() + ms
}

// Guards against storing a second job under the same id, which would run its tasks twice.
void t.test('a repeated id is reported as known, also after the job has ended', async t => {
  const store = createMemoryStore()
  const acceptor = createJobAcceptor(store)
  t.equal(await acceptor.accept(job, deadlineIn(1_000)), 'accepted')
  t.equal(await acceptor.accept(job, deadlineIn(1_000)), 'known')
  await store.commit({
    checks: [],
    writes: [{ table: acceptedJobsTable, part, key: job.id, value: null }],
  })
  t.equal(await acceptor.accept(job, deadlineIn(1_000)), 'known')
  await acceptor.close()
})

// Guards against reporting that a job will not run although it is stored.
void t.test('a lost response of the store is never reported as a refusal', async t => {
  const store = createMemoryStore()
  const acceptor = createJobAcceptor(store)
  store.fault = 'lose-after'
  const accepting = acceptor.accept(job, deadlineIn(600))
  // The first attempts store the job but their responses are lost; a later one finds the job.
  setTimeout(() => (store.fault = 'none'), 100)
  t.equal(await accepting, 'accepted')
  t.ok(await store.read(progressTable, job.id, { part }))
  const other = { ...job, id: '00000000000000a2' }
  store.fault = 'lose-before'
  const err = await acceptor.accept(other, deadlineIn(300)).catch((cause: unknown) => cause)
  t.equal(err instanceof RequestError ? err.kind : '', 'acceptance-unknown')
  await acceptor.close()
})

// Guards against keeping a caller waiting until its deadline while the store refuses transactions.
void t.test('a refusal by the store is reported early, with a time to retry after', async t => {
  const store = createMemoryStore()
  const acceptor = createJobAcceptor(store)
  store.fault = 'refuse'
  const startedAt = performance.now()
  const err = await acceptor.accept(job, deadlineIn(3_000)).catch((cause: unknown) => cause)
  if (!(err instanceof RequestError)) throw new Error('the job was not refused')
  t.equal(err.kind, 'store-unavailable')
  t.equal(err.outcome, 'not-run')
  t.ok((err.retryAfterMs ?? 0) > 0)
  t.ok(performance.now() - startedAt < 1_500)
  store.fault = 'none'
  t.equal(await store.read(progressTable, job.id, { part }), undefined)
  await acceptor.close()
})

function withSteps(id: string, count: number): JobDefinition {
  const [step] = job.steps
  const needs = 'x'.repeat(200)
  const steps = step === undefined ? [] : Array.from({ length: count }, () => ({ ...step, needs }))
  return { ...job, id, steps }
}

/** Ids of jobs in one part of the store, so that they share transactions. */
const idsOfPart = Array.from({ length: 400 }, (_, n) => `${n}`.padStart(16, 'c')).filter(
  id => partOf(id) === part,
)

// Guards against LOST at acceptance: a definition that is larger than a row was refused for ever with
// 503, as if a retry could help, and with it the jobs that shared its transaction.
void t.test('a job with a large definition is accepted, and so are those beside it', async t => {
  const store = createMemoryStore()
  const acceptor = createJobAcceptor(store)
  const jobs = idsOfPart.slice(0, 30).map((id, n) => withSteps(id, n === 7 ? 900 : 50))
  const outcomes = await Promise.all(jobs.map(each => acceptor.accept(each, deadlineIn(1_000))))
  t.ok(outcomes.every(outcome => outcome === 'accepted'))
  t.equal(store.rejectedCalls, 0)
  await acceptor.close()
})

void t.test('a job that no store could hold is refused with the limit', async t => {
  const store = createMemoryStore()
  const acceptor = createJobAcceptor(store)
  const tooLarge = withSteps(job.id, 2_000)
  const err = await acceptor.accept(tooLarge, deadlineIn(1_000)).catch((cause: unknown) => cause)
  t.match(err, { kind: 'job-limit-exceeded', message: /450000 bytes/ })
  t.equal(await store.read(progressTable, job.id, { part }), undefined)
  await acceptor.close()
})

// Guards against LOST whatever the reason: one job that the store always refuses.
void t.test('a job that the store rejects is refused alone and not retried', async t => {
  const store = createMemoryStore()
  const acceptor = createJobAcceptor(store)
  const [first = '', second = ''] = idsOfPart
  const unstorable = { ...job, id: first, queue: 'q', organisation: 'o' }
  const commit = store.commit.bind(store)
  store.commit = (tx, opts) =>
    tx.writes.some(({ key }) => key === first)
      ? commit({ ...tx, checks: [{ table: 't', key: 'k'.repeat(201), version: 0 }] }, opts)
      : commit(tx, opts)
  const [refused, accepted] = await Promise.all([
    acceptor.accept(unstorable, deadlineIn(1_000)).catch((cause: unknown) => cause),
    acceptor.accept({ ...job, id: second }, deadlineIn(1_000)),
  ])
  t.match(refused, { kind: 'job-not-storable' })
  t.equal(accepted, 'accepted')
  t.equal(store.rejectedCalls, 2, 'once with the other job and once alone')
  await acceptor.close()
})
