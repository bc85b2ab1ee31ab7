import t from 'tap'
import { simulatePool } from './simulated-pool.js'

/** Offered load of a burst in requests per second; the pool can complete 640 of them. */
const perSecond = 1_600

void t.test('guards against idle slots and late answers in a burst', async t => {
  for (const seed of [1, 2, 3]) {
    const burst = { seed, perSecond, slowFactor: 1, warmUpMs: 2_000, measuredMs: 3_000 }
    const { goodput, late, ejected } = await simulatePool(burst)
    t.ok(goodput >= 95, `goodput ${goodput}%`)
    t.equal(late, 0)
    t.equal(ejected, 0)
  }
})

void t.test('guards against late answers because of a slow runner', async t => {
  for (const seed of [1, 2, 3]) {
    const burst = { seed, perSecond, slowFactor: 10, warmUpMs: 0, measuredMs: 6_000 }
    const { goodput, late, ejected } = await simulatePool(burst)
    // The measurement includes the first seconds, in which the queues fill and the runner is
    // ejected.
    t.ok(goodput >= 93, `goodput ${goodput}%`)
    t.equal(late, 0)
    t.equal(ejected, 3, 'once by each entry host')
  }
  const { goodput, late } = await simulatePool({
    seed: 4,
    perSecond,
    slowFactor: 10,
    warmUpMs: 2_000,
    measuredMs: 3_000,
  })
  t.ok(goodput >= 95, `goodput ${goodput}%`)
  t.equal(late, 0)
})
