import t from 'tap'
import { decideAdmission, type AdmissionInput } from '../src/admission-decision.js'
import { loadView, organisation, queue, step } from './admission-fixture.js'

function decide(changes: Partial<AdmissionInput>) {
  return decideAdmission({
    view: undefined,
    ageMs: 100,
    newestTerm: 7,
    queue,
    organisation: 'large',
    organisations: [organisation('large', 10), organisation('small', 10)],
    steps: [step],
    isScheduled: false,
    ...changes,
  })
}

const isRejected = (changes: Partial<AdmissionInput>) => decide(changes).isRejected
const reasonOf = (changes: Partial<AdmissionInput>) => {
  const decision = decide(changes)
  return decision.isRejected ? 'rejected' : decision.reason
}

/** One organisation has waiting work for 12 s of the pool, with 90 of its 100 cores. */
const burst = loadView([
  ['large', 1_000_000, 200_000, 90],
  ['small', 0, 0, 10],
])

// Guards against callers that find out only by waiting that their job cannot be done in time, and against an
// organisation that pays for the excess of another one.
void t.test('a burst of six times the usual rejects only the organisation that sends it', t => {
  t.ok(isRejected({ view: burst }), 'the organisation that sends the burst')
  t.equal(reasonOf({ view: burst, organisation: 'small' }), 'under-share')
  const waiting = loadView([
    ['large', 1_000_000, 200_000, 60],
    ['small', 250_000, 0, 40],
  ])
  t.equal(reasonOf({ view: waiting, organisation: 'small' }), 'under-share')
  const overShare = loadView([
    ['large', 1_000_000, 200_000, 40],
    ['small', 250_000, 0, 60],
  ])
  t.equal(
    reasonOf({ view: overShare, organisation: 'small' }),
    'in-time',
    'its own work fits its share of the time, whatever the other one sends',
  )
  t.end()
})

// Guards against a rejection while the pool can still do the work, be it with machines that are on their way.
void t.test('a job is rejected only from the work on that fills the pool for certain', t => {
  // Alone, the organisation has 100 cores for 5,600 ms and the 100 ms since the view was computed.
  const alone = (coreMs: number, changes = {}) => ({
    view: loadView([['large', coreMs, 0, 100]]),
    ...changes,
  })
  t.equal(reasonOf(alone(570_000)), 'in-time')
  t.ok(isRejected(alone(570_001)))
  const { pools } = burst
  const grown = (expectedCores: number | null) => ({
    view: { ...burst, pools: pools.map(pool => ({ ...pool, expectedCores })) },
  })
  t.equal(reasonOf(grown(1_000)), 'in-time', 'spare machines')
  t.equal(reasonOf(grown(null)), 'capacity-unknown')
  t.equal(reasonOf(grown(0)), 'capacity-unknown')
  const drain = burst.queues.map(each => ({ ...each, drainCores: 400 }))
  t.equal(
    reasonOf({ view: { ...burst, queues: drain } }),
    'in-time',
    'work that was estimated too high drains faster than the cores tell',
  )
  t.end()
})

// Guards against rejections while a new job goes before late ones.
void t.test('late work alone rejects nothing', t => {
  t.equal(reasonOf({ view: loadView([['large', 100_000, 9_000_000, 100]]) }), 'in-time')
  t.ok(isRejected({ view: loadView([['large', 200_000, 400_000, 100]]) }))
  t.end()
})

// Guards against a share that an organisation cannot use, because of its own limit, being denied to others.
void t.test('work of others counts up to their share and their limit', t => {
  const view = loadView([
    ['large', 400_000, 0, 60],
    ['small', 900_000, 0, 40],
  ])
  t.ok(isRejected({ view }))
  const organisations = [organisation('large', 10), organisation('small', 10, 10_000)]
  t.equal(reasonOf({ view, organisations }), 'in-time')
  t.end()
})

// Guards against an organisation within its guarantee that is rejected.
void t.test('jobs within the guaranteed rate are accepted', t => {
  const accepted = (perSecond: number) => ({
    ...burst,
    accepted: [['large', perSecond]] as [string, number][],
  })
  t.equal(reasonOf({ view: accepted(9.5) }), 'guaranteed')
  t.ok(isRejected({ view: accepted(10) }))
  t.equal(reasonOf({ view: { ...burst, accepted: [] } }), 'guaranteed', 'a rate that is not known')
  const organisations = [organisation('large', 0), organisation('small', 0)]
  t.ok(isRejected({ view: accepted(0), organisations }), 'without a weight nothing is guaranteed')
  t.end()
})

// Guards against shares by another rule than equality where no weights are given.
void t.test('organisations without a weight have equal shares', t => {
  const view = loadView([
    ['large', 1_000_000, 0, 51],
    ['small', 1_000_000, 0, 49],
  ])
  for (const organisations of [[], [organisation('large', 0), organisation('small', 0)]]) {
    t.ok(isRejected({ view, organisations }))
    t.equal(reasonOf({ view, organisations, organisation: 'small' }), 'under-share')
  }
  const organisations = [organisation('large', 30), organisation('small', 10)]
  t.equal(
    reasonOf({ view, organisations }),
    'under-share',
    'three quarters of the pool are its own',
  )
  t.ok(isRejected({ view, organisations, organisation: 'small' }))
  t.end()
})

// Guards against a rejection by a view that tells nothing of the present.
void t.test(
  'a view that is missing, old, from the future or of an earlier term rejects nothing',
  t => {
    t.equal(reasonOf({}), 'no-view')
    t.ok(isRejected({ view: burst, ageMs: 1_000 }))
    t.equal(reasonOf({ view: burst, ageMs: 1_001 }), 'old-view')
    t.equal(reasonOf({ view: burst, ageMs: -5_000 }), 'old-view')
    t.equal(reasonOf({ view: burst, ageMs: Number.NaN }), 'old-view')
    t.equal(reasonOf({ view: burst, newestTerm: 8 }), 'earlier-term')
    t.end()
  },
)

// Guards against the rejection of jobs to which the estimate does not apply.
void t.test('jobs without a known limit, or of other queues, are accepted', t => {
  t.equal(reasonOf({ view: burst, queue: { ...queue, targetLatencyMs: 0 } }), 'no-objective')
  t.equal(reasonOf({ view: burst, steps: [{ ...step, isLasting: true }] }), 'lasting')
  t.equal(reasonOf({ view: burst, isScheduled: true }), 'lasting')
  t.equal(reasonOf({ view: burst, queue: { ...queue, name: 'other' } }), 'nothing-waits')
  t.equal(reasonOf({ view: burst, queue: { ...queue, pool: 'other' } }), 'capacity-unknown')
  const urgent = { ...queue, priority: -1 }
  t.equal(reasonOf({ view: burst, queue: urgent }), 'in-time', 'work of queues that go later')
  const long = { ...step, estimateMs: 10_000 }
  t.equal(reasonOf({ view: burst, steps: [long] }), 'in-time', 'a longer job has more time')
  t.end()
})

// Guards against a Retry-After at which the job would be rejected again.
void t.test('the wait is the time until the excess is done', t => {
  const decision = decide({ view: loadView([['large', 770_000, 0, 100]]) })
  const { waitMs, workMs } = decision.isRejected ? decision : { waitMs: 0, workMs: 0 }
  t.equal(Math.round(waitMs), 2_000)
  t.equal(Math.round(workMs), 10)
  t.end()
})
