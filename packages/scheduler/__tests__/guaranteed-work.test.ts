import t from 'tap'
import { createGuaranteedWork, maxExcessMs, type AcceptedJob } from '../src/index.js'

/** A multiple of the span after which the bucket is full again. */
const spanStart = 60_000

function acceptJobs(count: number, gapMs: number, from = spanStart): AcceptedJob[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `job-${String(i).padStart(4, '0')}`,
    organisation: 'org-1',
    acceptedAt: from + i * gapMs,
  }))
}

function countGuaranteed(jobs: readonly AcceptedJob[], weight: number): number {
  const guaranteed = createGuaranteedWork()
  for (const job of jobs) guaranteed.noteAccepted(job)
  return jobs.filter(job => guaranteed.isGuaranteed(job, weight, spanStart)).length
}

// Guards against an organisation within its rate whose jobs yield to those of others.
void t.test('all jobs within the rate are guaranteed', t => {
  t.equal(countGuaranteed(acceptJobs(100, 200), 5), 100)
  t.equal(countGuaranteed(acceptJobs(5, 0), 5), 5)
  t.equal(countGuaranteed(acceptJobs(5, 2_000), 0.5), 5, 'a rate below one job a second')
  t.end()
})

// Guards against a burst of one organisation that takes the capacity guaranteed to others.
void t.test('of six times the rate, a sixth is guaranteed', t => {
  const count = countGuaranteed(acceptJobs(600, 33), 5)
  t.ok(count >= 95 && count <= 105, `${count} of 600 in 20 s at a weight of 5`)
  t.equal(countGuaranteed(acceptJobs(600, 0), 5), 5, 'at one instant, one second of the rate')
  t.equal(countGuaranteed(acceptJobs(3, 1_000), 0), 0, 'without a weight nothing is guaranteed')
  t.end()
})

// Hosts accept jobs side by side, and a new dispatcher reads them in another order.
void t.test('the judgement depends neither on the order nor on repetitions', t => {
  const jobs = acceptJobs(300, 37)
  const one = createGuaranteedWork()
  for (const job of jobs) one.noteAccepted(job)
  const other = createGuaranteedWork()
  for (const job of [...jobs].reverse()) {
    other.noteAccepted(job)
    other.noteAccepted(job)
    other.isGuaranteed(job, 5, spanStart)
  }
  const judge = (work: typeof one) => jobs.map(job => work.isGuaranteed(job, 5, spanStart))
  t.same(judge(other), judge(one))
  t.end()
})

// Guards against a change of the weight that takes effect only for later jobs.
void t.test('a changed weight applies to jobs that are known', t => {
  const jobs = acceptJobs(100, 100)
  const guaranteed = createGuaranteedWork()
  for (const job of jobs) guaranteed.noteAccepted(job)
  const count = (weight: number) =>
    jobs.filter(job => guaranteed.isGuaranteed(job, weight, spanStart)).length
  t.ok(count(2) < 30)
  t.equal(count(10), 100)
  t.end()
})

// Guards against excess jobs that never run, and against acceptances that are kept forever.
void t.test('a job accepted long ago is guaranteed, also once its acceptance is forgotten', t => {
  const jobs = acceptJobs(2, 0)
  const [, excess] = jobs
  if (excess === undefined) throw new Error('there is no second job')
  const guaranteed = createGuaranteedWork()
  for (const job of jobs) guaranteed.noteAccepted(job)
  t.notOk(guaranteed.isGuaranteed(excess, 1, spanStart + maxExcessMs - 1))
  t.ok(guaranteed.isGuaranteed(excess, 1, spanStart + maxExcessMs))
  guaranteed.prune(spanStart + maxExcessMs - 1)
  t.notOk(guaranteed.isGuaranteed(excess, 1, spanStart + maxExcessMs - 1))
  guaranteed.prune(spanStart + 10 * maxExcessMs)
  t.ok(guaranteed.isGuaranteed(excess, 1, spanStart + 10 * maxExcessMs))
  t.end()
})
