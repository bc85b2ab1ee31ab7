import fc from 'fast-check'
import t from 'tap'
import {
  bufferSize,
  computeMoveStep,
  updatePressure,
  planMoves,
  poolMargin,
  withHostDraining,
  type Fleet,
  type FleetHost,
  type HostRow,
  type PoolPressure,
} from '../src/index.js'

const capacity = { cores: 16, memoryGb: 64 }
function host(id: string, pool: string, zone: string): FleetHost {
  return { id, pool, zone, rack: `${zone}-1`, state: 'serving', capacity, maintainedAt: 0 }
}

/** Pools `a` and `spare` of 8 hosts each over 4 zones, of which 5 and 4 are required. */
function twoPools(): Fleet {
  const hosts = ['a', 'spare'].flatMap(pool =>
    Array.from({ length: 8 }, (_, i) => host(`${pool}${i}`, pool, `z${i % 4}`)),
  )
  const budgets = [
    { service: 'a', pool: 'a', required: 5, zoneFailures: 1 },
    { service: 'spare', pool: 'spare', required: 4, zoneFailures: 1 },
  ]
  return { hosts, budgets, zonesOut: new Set() }
}

const homePools = new Map(twoPools().hosts.map(({ id, pool }) => [id, pool]))
const moveOptions = { sparePools: new Set(['spare']), homePools, moveCostMs: 240_000 }

/**
 * Runs the planner every 10 s with the given needs of pool `a` and completes each move at once.
 * Returns the reasons of the moves.
 */
function runPlanner(needs: readonly number[]): string[] {
  let fleet = twoPools()
  let pressure: ReadonlyMap<string, PoolPressure> = new Map()
  const reasons: string[] = []
  for (const [i, hosts] of needs.entries()) {
    const demand = [
      { pool: 'a', hosts },
      { pool: 'spare', hosts: 4 },
    ]
    const input = { fleet, needs: demand, previous: pressure, now: i * 10_000 }
    pressure = updatePressure({ ...input, moveCostMs: 240_000 })
    const plan = planMoves({ ...input, ...moveOptions, pressure })
    for (const { host: id, to, reason } of plan) {
      fleet = { ...fleet, hosts: fleet.hosts.map(h => (h.id === id ? { ...h, pool: to } : h)) }
      reasons.push(reason)
    }
  }
  return reasons
}

void t.test('concurrent planners never put a host into two pools', t => {
  const step = fc.constantFrom('drain' as const, 'leave' as const, 'join' as const)
  const action = fc.record({ planner: fc.nat(1), read: fc.boolean(), step })
  const property = fc.property(fc.array(action, { maxLength: 40 }), actions => {
    let row: HostRow = { version: 1, host: host('h', 'a', 'z0') }
    const seen = [row, row]
    const drains: string[] = []
    for (const { planner, read, step } of actions) {
      if (read) seen[planner] = row
      const before = row
      const to = ['b', 'c'][planner] ?? ''
      const result = computeMoveStep(step, row, to, seen[planner]?.version ?? 0)
      if (!result.moved) continue
      row = result.row
      if (step === 'drain') drains.push(to)
      t.equal(row.version, before.version + 1)
      t.ok(before === seen[planner], 'the planner decided on the current row')
      if (row.host.pool !== before.host.pool) {
        t.ok(before.host.state === 'draining' && row.host.state === 'joining')
        t.equal(row.host.pool, drains.at(-1), 'the move that drained the host decides its pool')
      }
    }
  })
  fc.assert(property, { seed: 11, numRuns: 300 })
  t.end()
})

void t.test('a burst that ends before a move would complete causes no move', t => {
  const bursts = Array.from({ length: 2000 }, (_, i) => (i % 12 < 2 ? 13 : 1))
  t.same(runPlanner(bursts), [])
  t.end()
})

void t.test('noise in the needs does not move hosts back and forth', t => {
  const property = fc.property(
    fc.array(fc.constantFrom(7, 8, 9), { minLength: 500, maxLength: 500 }),
    needs => runPlanner(needs).length <= 2,
  )
  fc.assert(property, { seed: 12, numRuns: 50 })
  t.end()
})

void t.test('a lasting shortage is filled, and the lent host returns after it', t => {
  const reasons = runPlanner([...Array<number>(60).fill(9), ...Array<number>(60).fill(5)])
  t.same(reasons, ['load', 'give-back'])
  t.end()
})

void t.test('no move brings the pool that gives the host below its budget', t => {
  const property = fc.property(fc.subarray([...homePools.keys()]), failed => {
    let fleet = failed.reduce((f, id) => withHostDraining(f, id), twoPools())
    const pressure = new Map(['a', 'spare'].map(pool => [pool, { shortageHostMs: 1e9, at: 0 }]))
    const needs = ['a', 'spare'].map(pool => ({ pool, hosts: 4 }))
    for (const move of planMoves({ ...moveOptions, fleet, needs, pressure })) {
      fleet = withHostDraining(fleet, move.host)
      if (poolMargin(fleet, move.from) < 0) return false
    }
    return true
  })
  fc.assert(property, { seed: 13, numRuns: 300 })
  t.end()
})

void t.test('a buffer covers the worst zone, host failures and the demand', t => {
  const budget = { service: 'a', pool: 'a', required: 5, zoneFailures: 1 }
  const base = { budget, zones: 4, failuresPerHostHour: 0.0006, replaceHours: 0.1, demandHosts: 3 }
  t.same(bufferSize(base), { hosts: 7, buffer: 2, failures: 0 })
  t.same(bufferSize({ ...base, failuresPerHostHour: 0.1 }), { hosts: 8, buffer: 3, failures: 1 })
  t.same(bufferSize({ ...base, demandHosts: 6 }), { hosts: 8, buffer: 3, failures: 0 })
  t.end()
})
