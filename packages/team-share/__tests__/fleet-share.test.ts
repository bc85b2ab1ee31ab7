import t from 'tap'
import { createFairQueue, createFleetShare } from '../src/index.js'

void t.test('guards against reports of a lost peer that hold slots for ever', t => {
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
    rotation: () => 0,
  })
  fleet.report('e2', [{ team: 'b', running: 0, waiting: 20 }])
  fleet.update()
  t.equal(fleet.slots(), 4)
  now.ms = 3001
  fleet.update()
  t.equal(fleet.slots(), 8)
  t.end()
})
