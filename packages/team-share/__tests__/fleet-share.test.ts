import t from 'tap'
import { createFairQueue, createFleetShare, type TeamDemand } from '../src/index.js'

void t.test('guards against slots that stay allocated to an unreachable peer', t => {
  const now = { ms: 0 }
  const clock = { now: () => now.ms }
  const shares = new Map([
    ['a', 1],
    ['b', 1],
  ])
  const fleet = createFleetShare({
    member: 'e1',
    queue: createFairQueue({ shares, clock }),
    clock,
    slots: () => 8,
    shares: () => shares,
    demand: () => [{ team: 'a', running: 0, waiting: 20 }],
    roundingPeriod: () => 0,
  })
  fleet.report('e2', [{ team: 'b', running: 0, waiting: 20 }])
  fleet.update()
  t.equal(fleet.slots(), 4)
  now.ms = 3001
  fleet.update()
  t.equal(fleet.slots(), 8)
  t.end()
})

void t.test('guards against computations without a change and changes without a computation', t => {
  const now = { ms: 0 }
  const clock = { now: () => now.ms }
  let shares = new Map([
    ['a', 1],
    ['b', 1],
  ])
  let [slots, period, computations] = [8, 0, 0]
  let ownDemand: TeamDemand[] = []
  const queue = createFairQueue({ shares, clock })
  const fleet = createFleetShare({
    member: 'e1',
    queue: {
      ...queue,
      setWeights: weights => {
        computations += 1
        queue.setWeights(weights)
      },
    },
    clock,
    slots: () => slots,
    shares: () => shares,
    demand: () => ownDemand.map(entry => ({ ...entry })),
    roundingPeriod: () => period,
  })
  const expectComputed = (expected: number, trigger: string) => {
    const before = computations
    fleet.update()
    fleet.update()
    t.equal(computations - before, expected, trigger)
  }
  expectComputed(1, 'the first update')
  period += 1
  expectComputed(0, 'an empty pool in the next rounding period')
  fleet.report('e2', [])
  expectComputed(0, 'a first report without demand')
  ownDemand = [{ team: 'a', running: 0, waiting: 9 }]
  expectComputed(1, 'demand here')
  expectComputed(0, 'the same demand in new objects')
  ownDemand = [{ team: 'a', running: 1, waiting: 8 }]
  expectComputed(1, 'a request that started')
  fleet.report('e2', [{ team: 'b', running: 0, waiting: 9 }])
  expectComputed(1, 'demand of a peer')
  fleet.report('e2', [{ team: 'b', running: 0, waiting: 9 }])
  expectComputed(0, 'a repeated report')
  period += 1
  expectComputed(1, 'the next rounding period')
  slots = 16
  expectComputed(1, 'slots')
  t.equal(fleet.slots(), 8)
  shares = new Map([
    ['a', 3],
    ['b', 1],
  ])
  expectComputed(1, 'shares')
  now.ms = 2_000
  fleet.report('e2', [{ team: 'b', running: 0, waiting: 9 }])
  now.ms = 4_000
  expectComputed(0, 'a repeated report keeps the peer')
  now.ms = 5_001
  expectComputed(1, 'a report that became too old')
  t.equal(fleet.slots(), 16)
  fleet.report('e2', [{ team: 'b', running: 0, waiting: 9 }])
  expectComputed(1, 'a peer that came back')
  fleet.removeMember('e2')
  expectComputed(1, 'a peer that left')
  t.end()
})
