import { seededRandom } from '@bulrushbridge/standins'
import t from 'tap'
import {
  chooseStarts,
  createGuaranteedWork,
  createWeightedShares,
  noAmounts,
  type Amounts,
  type JobDefinition,
  type JobExecution,
  type PoolShare,
  type QueueUsage,
  type StartChoiceInput,
  type Step,
  type WeightedSharesInput,
} from '../src/index.js'
import { createInput, createJob, createRunner, queue, step } from './fixture.js'
import { simulateShares, type SimulatedJob } from './shares-simulation.js'

const organisations = [
  { name: 'large', weight: 3 },
  { name: 'small', weight: 1 },
]

function cores(count: number): Amounts {
  return { cpuMillis: count * 1_000, memoryMb: count * 1_000, accelerators: 0 }
}

function createPool(count: number, free: number) {
  return [createRunner('r1', { capacity: cores(count), free: cores(free) })]
}

function usage(organisation: string, used: number, lasting = 0): QueueUsage {
  return { organisation, queue: queue.name, amounts: cores(used), lasting: cores(lasting) }
}

/** Input for shares of one pool; all work is guaranteed unless told otherwise. */
function sharesInput(
  jobs: JobExecution[],
  runners = createPool(16, 16),
  usage: QueueUsage[] = [],
): WeightedSharesInput & StartChoiceInput {
  return { ...createInput(jobs, runners), organisations, usage, isGuaranteed: () => true }
}

function entitled(entries: Iterable<PoolShare>): Record<string, number> {
  return Object.fromEntries([...entries].map(each => [each.organisation, each.entitled]))
}

function startsByOrganisation(
  input: WeightedSharesInput & StartChoiceInput,
): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { task } of chooseStarts({ ...input, shares: createWeightedShares(input) })) {
    const { organisation = '' } = task.step.job.definition
    counts[organisation] = (counts[organisation] ?? 0) + 1
  }
  return counts
}

function createJobOf(organisation: string, count: number, changes = {}): JobExecution {
  return createJob(`${organisation}-${count}`, {
    organisation,
    steps: [{ ...step, count }],
    ...changes,
  })
}

// Guards against an older or larger job that takes the whole pool in one pass.
void t.test('a full pool is shared by weight within one pass', t => {
  const jobs = [createJobOf('small', 50, { acceptedAt: -300 }), createJobOf('large', 50)]
  t.same(startsByOrganisation(sharesInput(jobs)), { large: 12, small: 4 })
  t.end()
})

// Guards against shares of small organisations that are all rounded up to one task more, so that a large
// one stays below its share.
void t.test('small shares are not rounded up at the cost of a large one', t => {
  const small = Array.from({ length: 10 }, (_, i) => `small-${i}`)
  const jobs = [...small, 'large'].map(name => createJobOf(name, 30))
  const weights = small.map(name => ({ name, weight: 1 }))
  const input = {
    ...sharesInput(jobs, createPool(24, 24)),
    organisations: [...weights, { name: 'large', weight: 6 }],
  }
  const { large = 0 } = startsByOrganisation(input)
  t.ok(large >= 9, `${large} of 24, share 9`)
  t.end()
})

// Guards against an organisation with large tasks that waits until others are far above their share.
void t.test('an organisation with large tasks is not starved by small ones', t => {
  const big: Step = { ...step, count: 4, amounts: cores(6) }
  const jobs = [createJobOf('large', 50), createJobOf('small', 4, { steps: [big] })]
  t.same(startsByOrganisation(sharesInput(jobs)), { large: 10, small: 1 })
  t.end()
})

// Guards against capacity that is kept free for an organisation that doesn't ask for it.
void t.test('what an organisation does not ask for goes to the others', t => {
  const jobs = [createJobOf('small', 50), createJobOf('large', 2)]
  t.same(startsByOrganisation(sharesInput(jobs)), { large: 2, small: 14 })
  t.same(startsByOrganisation(sharesInput([createJobOf('small', 50)])), { small: 16 })
  t.end()
})

// Guards against shares that count only the starts of a pass.
void t.test('what runs already counts', t => {
  const jobs = [createJobOf('small', 50), createJobOf('large', 50)]
  const input = sharesInput(jobs, createPool(16, 8), [usage('small', 6), usage('large', 2)])
  t.same(startsByOrganisation(input), { large: 8 })
  t.end()
})

// Guards against lasting tasks beyond a share, which are not ended: others could never reach theirs.
void t.test('lasting runs beyond a share are left out of the shares', t => {
  const jobs = [createJobOf('small', 50), createJobOf('large', 50)]
  const used = [usage('small', 8, 8)]
  const shares = createWeightedShares(sharesInput(jobs, createPool(16, 8), used))
  t.same(entitled(shares?.entries() ?? []), { small: 0.5, large: 0.5 })
  t.end()
})

// Guards against shares of capacity that no task fits in; both organisations would seem to lack some.
void t.test('room that is too small for any task is not shared out', t => {
  const runners = [createRunner('r1', { capacity: cores(10), free: cores(2) })]
  const bigStep: Step = { ...step, count: 5, amounts: cores(4) }
  const jobs = ['small', 'large'].map(name => createJobOf(name, 5, { steps: [bigStep] }))
  const used = [usage('small', 4), usage('large', 4)]
  const shares = createWeightedShares(sharesInput(jobs, runners, used))
  t.notOk(shares?.isUnderShare('pool', 'small'))
  t.ok(shares?.isUnderShare('pool', 'large'))
  t.end()
})

// Guards against excess work that takes what others are guaranteed, and against room left unused.
void t.test('excess work goes after guaranteed work and takes what is left', t => {
  const excess = createJobOf('large', 50, { acceptedAt: -300 })
  const guaranteed = createJobOf('small', 10)
  const input = {
    ...sharesInput([excess, guaranteed]),
    isGuaranteed: ({ organisation }: JobDefinition) => organisation === 'small',
  }
  t.same(startsByOrganisation(input), { small: 10, large: 6 })
  t.end()
})

void t.test('long-running steps go first, whatever the share', t => {
  const lasting = createJobOf('small', 8, { steps: [{ ...step, count: 8, isLasting: true }] })
  const input = { ...sharesInput([createJobOf('large', 50), lasting]), isGuaranteed: () => false }
  t.equal(startsByOrganisation(input).small, 8)
  t.end()
})

// Deployments without weights, or with equal ones, are served as before.
void t.test('equal or absent weights leave the order of guaranteed work as it was', t => {
  const jobs = [createJobOf('small', 50, { acceptedAt: -300 }), createJobOf('large', 50)]
  for (const weight of [0, 1, 7]) {
    const input = {
      ...sharesInput(jobs),
      organisations: organisations.map(each => ({ ...each, weight })),
    }
    t.same(startsByOrganisation(input), { small: 16 }, `weight ${weight}`)
    t.equal(createWeightedShares(input) === undefined, weight === 0)
  }
  t.end()
})

void t.test('a pool without runners or capacity has no shares to compute', t => {
  const input = sharesInput([createJobOf('small', 1)], [])
  const none = { ...input, runners: [createRunner('r1', { capacity: noAmounts, free: noAmounts })] }
  t.same(startsByOrganisation(input), {})
  t.same(startsByOrganisation(none), {})
  t.end()
})

/** Jobs of an organisation at a rate, in a random order of sizes. */
function createArrivals(name: string, jobsPerS: number, seed: number, untilMs: number) {
  const random = seededRandom(seed)
  const jobs: SimulatedJob[] = []
  for (let at = random() * 500; at < untilMs; at += (1_000 / jobsPerS) * (0.7 + 0.6 * random())) {
    const count = Math.ceil(random() * 12)
    const steps = [
      { ...step, count },
      { ...step, count, after: [0] },
    ]
    jobs.push({ id: `${name}-${jobs.length}`, organisation: name, at: Math.round(at), steps })
  }
  return jobs
}

/** The fraction of the jobs that ended within a time of their acceptance, from `from` on. */
function timelyFraction(
  jobs: readonly SimulatedJob[],
  endedAt: ReadonlyMap<string, number>,
  withinMs: number,
  from = 0,
): number {
  const counted = jobs.filter(({ at }) => at >= from)
  const timely = counted.filter(
    ({ id, at }) => (endedAt.get(id) ?? Number.POSITIVE_INFINITY) - at <= withinMs,
  )
  return timely.length / counted.length
}

const untilMs = 20_000
const hotWeight = 1.6

/**
 * Four organisations of which each sends somewhat less than its weight, together 0.6 of what a pool of
 * 128 cores holds. From 5 s on, one of them sends six times its usual load, and the pool is full.
 */
function simulateHotOrganisation(hasWeights: boolean) {
  const rates = { 'org-1': 1, 'org-2': 1.5, 'org-3': 2 }
  const usual = Object.entries(rates).flatMap(([name, rate], i) =>
    createArrivals(name, rate, i + 1, untilMs),
  )
  const hot = [
    ...createArrivals('hot', 1.3, 7, 5_000),
    ...createArrivals('hot', 7.8, 8, untilMs - 5_000).map(job => ({
      ...job,
      id: `${job.id}-burst`,
      at: job.at + 5_000,
    })),
  ]
  const weights = { 'org-1': 1.4, 'org-2': 2, 'org-3': 2.6, hot: hotWeight }
  const result = simulateShares({
    organisations: Object.entries(weights).map(([name, weight]) => ({
      name,
      weight: hasWeights ? weight : 0,
    })),
    jobs: [...usual, ...hot],
    runners: [32, 32, 32, 32],
    runMs: (task, n) => 500 + ((n * 7_919) % 1_000),
    untilMs: untilMs + 30_000,
    limitsRate: true,
    takeoverAt: 14_000,
  })
  return { usual, hot, result }
}

// Guards against a hot organisation whose excess jobs keep those of others waiting.
void t.test('beside a hot organisation, the others get what they are guaranteed', t => {
  const { usual, hot, result } = simulateHotOrganisation(true)
  const without = simulateHotOrganisation(false)
  const limitMs = 1.6 * 2_000 + 600
  const guaranteed = createGuaranteedWork()
  for (const job of hot) guaranteed.noteAccepted({ ...job, acceptedAt: job.at })
  const hotGuaranteed = hot.filter(job =>
    guaranteed.isGuaranteed({ ...job, acceptedAt: job.at }, hotWeight, 0),
  )
  const others = timelyFraction(usual, result.endedAt, limitMs, 6_000)
  const othersWithout = timelyFraction(usual, without.result.endedAt, limitMs, 6_000)
  const own = timelyFraction(hotGuaranteed, result.endedAt, limitMs, 6_000)
  t.comment(`on time: others ${others}, without weights ${othersWithout}, own guaranteed ${own}`)
  t.ok(others >= 0.98)
  t.ok(othersWithout < 0.9)
  t.ok(own >= 0.9, 'also the hot organisation gets what it is guaranteed')
  const countEnded = (endedAt: ReadonlyMap<string, number>) =>
    [...endedAt.values()].filter(at => at <= untilMs).length
  const ended = countEnded(result.endedAt)
  const endedWithout = countEnded(without.result.endedAt)
  t.comment(`jobs ended: ${ended}, without weights ${endedWithout}`)
  t.ok(ended >= 0.95 * endedWithout, 'the hot organisation gets the rest')
  t.end()
})

// Guards against a new dispatcher that judges jobs differently, so that they lose their turn.
void t.test('a takeover in the middle computes the same shares', t => {
  const { result } = simulateHotOrganisation(true)
  t.same(result.takeover?.after, result.takeover?.before)
  const { shares, excess } = result.takeover?.before as { shares: PoolShare[]; excess: string[] }
  t.equal(shares.length, 4)
  t.ok(excess.length > 10, `${excess.length} excess jobs`)
  t.end()
})

// Guards against large jobs that are starved by small ones, and half-done ones that are left lying.
void t.test('the largest jobs of an overloaded pool are completed too', t => {
  const overloadMs = 40_000
  const jobs = ['large', 'small'].flatMap((name, i) => createArrivals(name, 5, i + 1, overloadMs))
  const { endedAt, firstRunAt } = simulateShares({
    organisations,
    jobs,
    runners: [16, 16, 16, 16],
    runMs: (task, n) => 500 + ((n * 7_919) % 1_000),
    untilMs: overloadMs,
    limitsRate: true,
  })
  const sizeOf = ({ steps }: SimulatedJob) => steps[0]?.count ?? 0
  const bySize = [...jobs].sort((a, b) => sizeOf(b) - sizeOf(a))
  const completed = (some: readonly SimulatedJob[]) =>
    some.filter(({ id }) => endedAt.has(id)).length / some.length
  const tenth = Math.ceil(jobs.length / 10)
  const all = completed(jobs)
  const largest = completed(bySize.slice(0, tenth))
  const next = completed(bySize.slice(tenth, 3 * tenth))
  const half = jobs.filter(({ id }) => firstRunAt.has(id) && !endedAt.has(id)).length / jobs.length
  t.comment(`all ${all}, largest tenth ${largest}, fifth below ${next}, begun, not ended ${half}`)
  t.ok(all > 0.3 && all < 0.95, 'the pool is overloaded')
  t.ok(largest >= all / 2)
  t.ok(next >= all / 2)
  t.end()
})
