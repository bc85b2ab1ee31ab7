import { seededRandom } from '@bulrushbridge/standins'
import t from 'tap'
import { computeRunnerQuotas, maxRequestsPerRunner } from '../src/index.js'

void t.test('guards against quotas of a full pool that overlap or leave a runner idle', t => {
  const rng = seededRandom(5)
  for (let round = 0; round < 200; round++) {
    const runners = Array.from({ length: 1 + Math.floor(rng() * 9) }, (_, i) => `r${i}`)
    let remaining = runners.length * maxRequestsPerRunner(8)
    const members = new Map<string, number>()
    for (let n = 0; n < 3; n++) {
      const requests = Math.floor(rng() * remaining)
      members.set(`e${n}`, requests)
      remaining -= requests
    }
    members.set('e3', remaining)
    const sums = new Map<string, number>()
    for (const [member, requests] of members) {
      const quotas = computeRunnerQuotas({ members, member, runners: runners.toReversed() })
      const counts = [...quotas.values()]
      t.equal(
        counts.reduce((sum, quota) => sum + quota, 0),
        requests,
      )
      t.ok(Math.max(...counts) - Math.min(...counts) <= 1, 'spread over the runners')
      for (const [id, quota] of quotas) sums.set(id, (sums.get(id) ?? 0) + quota)
    }
    t.ok([...sums.values()].every(sum => sum === maxRequestsPerRunner(8)))
  }
  t.equal(computeRunnerQuotas({ members: new Map(), member: 'e1', runners: [] }).size, 0)
  t.end()
})

void t.test('guards against a request that waits too long at a runner with few slots', t => {
  t.same([1, 7, 8, 16].map(maxRequestsPerRunner), [1, 7, 9, 18])
  t.end()
})
