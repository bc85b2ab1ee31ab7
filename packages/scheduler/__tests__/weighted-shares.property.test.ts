import fc from 'fast-check'
import t from 'tap'
import { simulateShares, type SimulatedJob } from './shares-simulation.js'
import { step } from './fixture.js'

const cores = 24
const untilMs = 1_000_000
/** Longest run, in milliseconds. */
const maxRunMs = 1_000

interface Demand {
  weight: number
  jobs: { at: number; count: number }[]
  runMs: number[]
}

const demandArbitrary: fc.Arbitrary<Demand> = fc.record({
  weight: fc.integer({ min: 1, max: 6 }),
  jobs: fc.array(
    fc.record({ at: fc.integer({ min: 0, max: 4_000 }), count: fc.integer({ min: 1, max: 30 }) }),
    { minLength: 1, maxLength: 12 },
  ),
  runMs: fc.array(fc.integer({ min: 20, max: maxRunMs }), { minLength: 1, maxLength: 20 }),
})

function jobsOf(demand: Demand, organisation: string): SimulatedJob[] {
  return demand.jobs.map(({ at, count }, i) => ({
    id: `${organisation}-${i}`,
    organisation,
    at,
    steps: [{ ...step, count }],
  }))
}

/** Starts of each organisation when those given share a pool; all steps are of one class. */
function startsOf(demands: ReadonlyMap<string, Demand>, poolCores: number) {
  // An idle organisation makes the weights unequal, because equal ones leave the order as it was.
  const organisations = [{ name: 'idle', weight: 100 }]
  for (const [name, { weight }] of demands) organisations.push({ name, weight })
  return simulateShares({
    organisations,
    jobs: [...demands].flatMap(([name, demand]) => jobsOf(demand, name)),
    runners: [poolCores],
    runMs: ({ step: { job } }, startNumber) => {
      const times = demands.get(job.definition.organisation ?? '')?.runMs ?? []
      return times[startNumber % times.length] ?? maxRunMs
    },
    queue: { targetLatencyMs: 10 * untilMs },
    untilMs,
  }).starts
}

// Guards against a burst of one organisation that keeps another one below its share of the pool.
void t.test('no organisation waits longer than alone on its share, plus one run', t => {
  fc.assert(
    fc.property(fc.array(demandArbitrary, { minLength: 2, maxLength: 5 }), list => {
      const demands = new Map(list.map((demand, i) => [`org-${i}`, demand]))
      const together = startsOf(demands, cores)
      const totalWeight = list.reduce((sum, { weight }) => sum + weight, 0)
      for (const [name, demand] of demands) {
        const ownCores = Math.floor((cores * demand.weight) / totalWeight)
        if (ownCores === 0) continue
        const alone = startsOf(new Map([[name, demand]]), ownCores).get(name) ?? []
        const shared = together.get(name) ?? []
        if (shared.length !== alone.length) return false
        if (shared.some((at, i) => at > (alone[i] ?? 0) + maxRunMs)) return false
      }
      return true
    }),
    { numRuns: 100, seed: 41 },
  )
  t.end()
})
