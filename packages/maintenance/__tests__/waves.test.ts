import { budgetMargin, mapHosts, type Fleet, type FleetHost } from '@bulrushbridge/host-pools'
import fc from 'fast-check'
import t from 'tap'
import {
  dayMs,
  expectedDrainEnd,
  checkDrain,
  planMaintenanceWave,
  choosePoolAfterMaintenance,
  reviewMaintenanceWave,
} from '../src/index.js'

const capacity = { cores: 16, memoryGb: 64 }
const states = ['serving', 'serving', 'serving', 'maintenance', 'failed'] as const

const anyHost = fc.record({
  pool: fc.constantFrom('a', 'b', 'c'),
  zone: fc.constantFrom('z0', 'z1', 'z2', 'z3'),
  rack: fc.constantFrom('r0', 'r1'),
  state: fc.constantFrom(...states),
  maintainedAt: fc.integer({ min: -60, max: 0 }).map(days => days * dayMs),
})

const anyFleet = fc
  .record({
    hosts: fc.array(anyHost, { maxLength: 45 }),
    required: fc.array(fc.nat(10), { minLength: 3, maxLength: 3 }),
    zoneFailures: fc.nat(1),
  })
  .map(({ hosts, required, zoneFailures }): Fleet => ({
    hosts: hosts.map((host, i) => ({
      ...host,
      id: `h${i}`,
      rack: `${host.zone}-${host.rack}`,
      capacity,
    })),
    budgets: ['a', 'b', 'c'].map((pool, i) => ({
      service: pool,
      pool,
      required: required[i] ?? 0,
      zoneFailures,
    })),
    zonesOut: new Set(),
  }))

/** Fewest serving hosts of a pool after any zone failure, counted without the tested package. */
function fewestServing(hosts: readonly FleetHost[], pool: string, zoneFailures: number): number {
  const serving = hosts.filter(h => h.pool === pool && h.state === 'serving')
  if (zoneFailures === 0) return serving.length
  return Math.min(...['z0', 'z1', 'z2', 'z3'].map(z => serving.filter(h => h.zone !== z).length))
}

function startMaintenance(fleet: Fleet, ids: readonly string[]): Fleet {
  return mapHosts(fleet, h => (ids.includes(h.id) ? { ...h, state: 'maintenance' } : h))
}

void t.test('a wave keeps every budget should the worst zone fail', t => {
  const property = fc.property(anyFleet, fleet => {
    const { hosts } = planMaintenanceWave({ fleet, now: 0, roundStartedAt: 0 })
    const after = startMaintenance(fleet, hosts)
    for (const { pool, required, zoneFailures } of fleet.budgets) {
      if (!hosts.some(id => fleet.hosts.some(h => h.id === id && h.pool === pool))) continue
      t.ok(fewestServing(after.hosts, pool, zoneFailures) >= required)
    }
  })
  fc.assert(property, { seed: 21, numRuns: 300 })
  t.end()
})

void t.test('a wave is as large as the budget allows', t => {
  const property = fc.property(anyFleet, fleet => {
    const same = mapHosts(fleet, h => ({ ...h, maintainedAt: -1 }))
    const planned = planMaintenanceWave({ fleet: same, now: 0, roundStartedAt: 0 }).hosts
    for (const { pool, required, zoneFailures } of same.budgets) {
      const serving = same.hosts.filter(h => h.pool === pool && h.state === 'serving')
      const sizes = ['z0', 'z1', 'z2', 'z3'].map(z => serving.filter(h => h.zone === z).length)
      const count = serving.filter(h => planned.includes(h.id)).length
      t.equal(count, largestWave(sizes, required, zoneFailures))
    }
  })
  fc.assert(property, { seed: 22, numRuns: 200 })
  t.end()
})

/** Size of the largest wave, found by trying every number of serving hosts per zone. */
function largestWave(sizes: readonly number[], required: number, losses: number): number {
  let best = 0
  const total = sizes.reduce((a, b) => a + b, 0)
  const visit = (i: number, left: number[]): void => {
    const size = sizes[i]
    if (size !== undefined) {
      for (let n = 0; n <= size; n++) visit(i + 1, [...left, n])
      return
    }
    const sum = left.reduce((a, b) => a + b, 0)
    if (sum - (losses ? Math.max(...left) : 0) >= required) best = Math.max(best, total - sum)
  }
  visit(0, [])
  return best
}

function evenFleet(): Fleet {
  const hosts = Array.from({ length: 40 }, (_, i): FleetHost => {
    const [pool, zone] = [`p${i % 5}`, `z${Math.floor(i / 5) % 4}`]
    const maintainedAt = -((i * 7) % 42) * dayMs
    return {
      id: `h${i}`,
      pool,
      zone,
      rack: `${zone}-${i % 3}`,
      state: 'serving',
      capacity,
      maintainedAt,
    }
  })
  const budgets = [0, 1, 2, 3, 4].map(i => {
    return { service: `s${i}`, pool: `p${i}`, required: i === 4 ? 4 : 5, zoneFailures: 1 }
  })
  return { hosts, budgets, zonesOut: new Set() }
}

void t.test('every host is maintained within its period', t => {
  let fleet = evenFleet()
  const latest = new Map(fleet.hosts.map(h => [h.id, h.maintainedAt]))
  for (let day = 0; day < 200; day++) {
    const now = day * dayMs
    // Deadlines are 42 days after the last maintenance; a round begins two weeks before.
    const { hosts, overdue } = planMaintenanceWave({
      fleet,
      now,
      roundStartedAt: now - 28 * dayMs,
      maxHosts: 2,
    })
    t.same(overdue, [])
    for (const id of hosts) latest.set(id, now)
    fleet = mapHosts(fleet, h => ({ ...h, maintainedAt: latest.get(h.id) ?? 0 }))
  }
  t.end()
})

void t.test('no host is drained while a zone is out', t => {
  const fleet = { ...evenFleet(), zonesOut: new Set(['z0']) }
  t.same(planMaintenanceWave({ fleet, now: 0, roundStartedAt: 1 }).hosts, [])
  const [host] = evenFleet().hosts.slice(5, 6)
  if (host) t.same(checkDrain(fleet, host), { isAllowed: false, reason: 'zone-out' })
  t.end()
})

void t.test('a wave halts for unhealthy hosts, missing hosts and several pools below budget', t => {
  const fleet = startMaintenance(evenFleet(), ['h0', 'h1'])
  const review = (wave: { id: string; backBy: number; healthy?: boolean }[], from = fleet) =>
    reviewMaintenanceWave({ fleet: from, wave, now: 100 })
  t.same(
    review([
      { id: 'h0', backBy: 200 },
      { id: 'h1', backBy: 90, healthy: true },
    ]).halt,
    [],
  )
  t.same(review([{ id: 'h0', backBy: 200, healthy: false }]).halt, ['unhealthy-return'])
  t.same(review([{ id: 'h0', backBy: 99 }]).missing, ['h0'])
  t.same(review([{ id: 'h0', backBy: 99 }]).halt, ['host-missing'])
  t.same(review([{ id: 'h0', backBy: 200 }], startMaintenance(fleet, ['h5', 'h6'])).halt, [
    'budget-low',
  ])
  const shortFleet = startMaintenance(fleet, ['h5'])
  const { halt, lowPools } = review([{ id: 'h0', backBy: 200 }], shortFleet)
  t.same(
    [halt, lowPools],
    [[], ['p0']],
    'one pool below budget halts only its own part of the wave',
  )
  const next = planMaintenanceWave({ fleet: shortFleet, now: 100, roundStartedAt: 101 }).hosts
  t.ok(next.length > 0 && next.every(id => Number(id.slice(1)) % 5 > 0))
  t.end()
})

void t.test('a missing host counts as failed in the budget', t => {
  const { fleet } = reviewMaintenanceWave({
    fleet: evenFleet(),
    wave: [{ id: 'h0', backBy: -1 }],
    now: 0,
  })
  const budget = evenFleet().budgets[0]
  if (budget) t.equal(budgetMargin(fleet, budget), 0)
  t.notOk(
    planMaintenanceWave({ fleet, now: 0, roundStartedAt: 1 }).hosts.some(
      id => Number(id.slice(1)) % 5 === 0,
    ),
  )
  t.end()
})

void t.test('a drain lasts until the last work ends or is checkpointed', t => {
  t.equal(expectedDrainEnd([], 50), 50)
  t.equal(expectedDrainEnd([{ endsBy: 900 }, { endsBy: 5000, checkpointBy: 700 }], 50), 900)
  t.end()
})

void t.test('urgency, then zone, then rack decide which host is drained first', t => {
  const makeHost = (id: string, zone: string, rack: string, deadlineDay: number): FleetHost => {
    const maintainedAt = (deadlineDay - 42) * dayMs
    return { id, pool: 'a', zone, rack, state: 'serving', capacity, maintainedAt }
  }
  const firstDrained = (...hosts: FleetHost[]) => {
    const fleet = { hosts, budgets: [], zonesOut: new Set<string>() }
    return planMaintenanceWave({ fleet, now: 0, roundStartedAt: dayMs, maxHosts: 1 }).hosts[0]
  }
  const large = [makeHost('a1', 'z0', 'r0', 20), makeHost('a2', 'z0', 'r1', 20)]
  t.equal(firstDrained(...large, makeHost('late', 'z1', 'r2', 1)), 'late')
  t.equal(firstDrained(makeHost('a0', 'z1', 'r2', 20), ...large), 'a1')
  t.equal(firstDrained(...large, { ...makeHost('b', 'z1', 'r0', 20), state: 'failed' }), 'a2')
  t.end()
})

void t.test('a returning host joins a pool in which it allows another host to be drained', t => {
  const hosts = evenFleet().hosts.map(h => ({ ...h, maintainedAt: h.pool === 'p0' ? 5 : -1 }))
  const fleet = startMaintenance({ ...evenFleet(), hosts }, ['h0'])
  const homePools = new Map(hosts.map(({ id, pool }) => [id, pool]))
  const choose = (from: Fleet) => {
    const host = from.hosts.find(({ id }) => id === 'h0')
    return (
      host &&
      choosePoolAfterMaintenance({ fleet: from, host, homePools, now: 9, roundStartedAt: 0 })
    )
  }
  // Every host of p0 is maintained. One host each of p1 to p4 is out of service, so an additional
  // host allows the next one to be drained.
  t.not(choose(startMaintenance(fleet, ['h1', 'h2', 'h3', 'h4'])), 'p0')
  const lent = (h: FleetHost) => ({ ...h, pool: h.id === 'h0' ? 'p1' : h.pool, maintainedAt: 5 })
  t.equal(choose(mapHosts(fleet, lent)), 'p0', 'the host joins its home pool')
  t.equal(choose(startMaintenance(fleet, ['h1', 'h6'])), 'p1', 'another pool is below its budget')
  const both = startMaintenance(fleet, ['h1', 'h6', 'h5', 'h10'])
  t.equal(
    choose({ ...both, budgets: both.budgets.toReversed() }),
    'p0',
    'its old pool is below its budget as well',
  )
  // All waiting hosts of p2 are in other zones than h0, so h0 also raises the worst zone loss.
  const isWaiting = (h: FleetHost) => h.id === 'h1' || (h.pool === 'p2' && h.zone !== 'z0')
  const tight = mapHosts(fleet, h => ({ ...h, maintainedAt: isWaiting(h) ? -1 : 5 }))
  const budgets = tight.budgets.map(b => ({ ...b, required: b.pool === 'p0' ? 5 : 6 }))
  t.equal(
    choose({ ...tight, budgets }),
    'p1',
    'p2 has more waiting hosts, but h0 allows none of them to be drained',
  )
  t.end()
})
