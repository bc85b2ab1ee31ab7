import t from 'tap'
import {
  simulateAdmission,
  type AdmissionSimulationOptions,
  type SimulatedJob,
} from './admission-simulation.js'

/** The pool does 6.1 jobs a second; the organisations usually send 3.8, and 13.8 in the burst. */
const organisations = [
  { name: 'large', weight: 3, jobsPerS: 2 },
  { name: 'b', weight: 1, jobsPerS: 0.6 },
  { name: 'c', weight: 1, jobsPerS: 0.6 },
  { name: 'd', weight: 1, jobsPerS: 0.6 },
]
const seeds = [1, 2, 3, 4]

const withBurst = (seed: number, isRejecting: boolean): AdmissionSimulationOptions => ({
  seed,
  organisations,
  bursting: 'large',
  isRejecting,
})

const isServed = ({ result }: SimulatedJob) => result === 'on time' || result === 'late'

// Guards against a rejection rule that costs served jobs, hits organisations under their share, or rejects jobs
// that would be served if none was rejected.
void t.test('a burst of six times the usual of one organisation', t => {
  const rejected: SimulatedJob[] = []
  const tooLate = { with: 0, without: 0 }
  const served = { with: 0, without: 0 }
  let servedWithout = 0
  for (const seed of seeds) {
    const without = simulateAdmission(withBurst(seed, false)).jobs
    const { jobs } = simulateAdmission(withBurst(seed, true))
    served.with += jobs.filter(isServed).length
    served.without += without.filter(isServed).length
    tooLate.with += jobs.filter(({ result }) => result === 'too late').length
    tooLate.without += without.filter(({ result }) => result === 'too late').length
    const rejectedNow = jobs.filter(({ result }) => result === 'rejected')
    rejected.push(...rejectedNow)
    servedWithout += rejectedNow.filter(({ number }) => {
      const job = without[number]
      return job !== undefined && isServed(job)
    }).length
  }
  t.comment(JSON.stringify({ rejected: rejected.length, servedWithout, served, tooLate }))
  t.ok(rejected.length > 50, 'the burst is rejected in part')
  t.ok(rejected.every(({ organisation }) => organisation === 'large'))
  t.ok(served.with >= served.without, 'no served job is lost')
  t.ok(tooLate.with < 0.8 * tooLate.without, 'fewer callers wait in vain')
  t.ok(servedWithout < rejected.length / 5, 'few of the rejected jobs are served otherwise')
  t.end()
})

// Guards against rejections at a load that the pool can carry, with its short backlogs.
void t.test('the usual load is not rejected', t => {
  for (const seed of seeds) {
    const { jobs } = simulateAdmission({ seed, organisations, isRejecting: true })
    t.notOk(jobs.some(({ rejections }) => rejections > 0))
  }
  t.end()
})

// Guards against callers that return at the time that they were told and are rejected again and again.
void t.test('most rejected callers are accepted when they return', t => {
  const { jobs } = simulateAdmission({ ...withBurst(2, true), maxReturns: 3 })
  const returned = jobs.filter(({ rejections }) => rejections > 0)
  const accepted = returned.filter(({ result }) => result !== 'rejected')
  t.comment(JSON.stringify({ returned: returned.length, accepted: accepted.length }))
  t.ok(accepted.length > returned.length / 2)
  t.end()
})
