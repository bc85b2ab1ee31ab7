import fc from 'fast-check'
import t from 'tap'
import { allocate, dominantShare, sortByDominantShare } from '../src/index.js'

const entry = fc.record({
  member: fc.constantFrom('e1', 'e2', 'e3'),
  team: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
  running: fc.nat(9),
  waiting: fc.nat(30),
})
const shares = new Map([
  ['a', 8],
  ['b', 3.3],
  ['c', 1],
  ['d', 0.1],
])
const sum = (values: Iterable<number>) => [...values].reduce((a, b) => a + b, 0)

void t.test('guards against quotas above the slots, idle slots and exceeded limits', t => {
  const property = fc.property(
    fc.array(entry),
    fc.nat(64),
    fc.nat(99),
    (demand, slots, roundingPeriod) => {
      const limits = new Map([['a', 7]])
      const result = allocate({ slots, shares, demand, roundingPeriod, limits })
      const wanted = new Map<string, number>()
      for (const { team, running, waiting } of demand) {
        wanted.set(team, (wanted.get(team) ?? 0) + running + waiting)
      }
      wanted.set('a', Math.min(7, wanted.get('a') ?? 0))
      const total = sum([...result.quotas.values()].flatMap(quotas => [...quotas.values()]))
      const limited = sum([...result.quotas.values()].map(quotas => quotas.get('a') ?? 0))
      const expected = Math.min(slots, sum(wanted.values()))
      return total === expected && sum(result.members.values()) === expected && limited <= 7
    },
  )
  fc.assert(property, { seed: 1, numRuns: 500 })
  t.end()
})

void t.test('guards against entry hosts computing different quotas', t => {
  const property = fc.property(
    fc.array(entry),
    fc.nat(64),
    fc.array(fc.nat(), { minLength: 40, maxLength: 40 }),
    (demand, slots, keys) => {
      const shuffled = demand
        .map((value, i) => ({ value, key: keys[i] ?? 0 }))
        .sort((a, b) => a.key - b.key)
        .map(({ value }) => value)
      const one = allocate({ slots, shares, demand, roundingPeriod: 3 })
      const other = allocate({ slots, shares, demand: shuffled, roundingPeriod: 3 })
      t.same([...other.teams, ...other.members], [...one.teams, ...one.members])
      t.same(other.quotas, one.quotas)
    },
  )
  fc.assert(property, { seed: 2, numRuns: 200 })
  t.end()
})

void t.test('guards against a team that never gets a slot because of rounding', t => {
  const teams = Array.from({ length: 100 }, (_, i) => `t${i}`)
  const demand = teams.map(team => ({ member: 'e1', team, running: 0, waiting: 9 }))
  const weights = new Map(teams.map((team, i) => [team, i === 0 ? 0.5 : 1]))
  let slots = 0
  for (let roundingPeriod = 0; roundingPeriod < 1000; roundingPeriod++) {
    const result = allocate({ slots: 10, shares: weights, demand, roundingPeriod })
    slots += result.quotas.get('e1')?.get('t0') ?? 0
  }
  // Its exact allocation is 10 * 0.5 / 99.5 slots, 50.3 over 1,000 periods.
  t.ok(Math.abs(slots - 50.3) < 3, `${slots} slots`)
  t.end()
})

void t.test('guards against an unused share that other teams cannot use', t => {
  const demand = [
    { member: 'e1', team: 'a', running: 1, waiting: 1 },
    { member: 'e1', team: 'b', running: 0, waiting: 50 },
    { member: 'e2', team: 'b', running: 0, waiting: 25 },
    { member: 'e2', team: 'c', running: 0, waiting: 50 },
  ]
  const weights = new Map([
    ['a', 2],
    ['b', 1],
    ['c', 1],
  ])
  const result = allocate({ slots: 20, shares: weights, demand })
  t.same([...result.teams.values()], [2, 9, 9])
  t.equal(result.exact('e1', 'b'), 6)
  t.end()
})

void t.test('guards against ordering teams by one resource instead of the dominant one', t => {
  const capacity = { cpus: 100, memory: 1000, accelerators: 10 }
  const cpuTeam = { team: 'a', weight: 1, usage: { cpus: 30, memory: 10, accelerators: 0 } }
  const gpuTeam = { team: 'b', weight: 2, usage: { cpus: 1, memory: 10, accelerators: 5 } }
  t.equal(dominantShare(gpuTeam.usage, capacity), 0.5)
  t.same(
    sortByDominantShare([cpuTeam, gpuTeam], capacity).map(entry => entry.team),
    ['b', 'a'],
  )
  t.end()
})
