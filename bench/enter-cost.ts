import { createAdmission } from '../packages/admission/src/index.js'
import { createFairQueue } from '../packages/team-share/src/index.js'

/** Measures the mean microseconds of `enter` and `end` with a free slot and an empty queue. */
export async function measureEnterCost(rounds = 200_000): Promise<number> {
  const clock = { now: () => performance.now() }
  const shares = new Map(Array.from({ length: 420 }, (_, i) => [`team-${i}`, 1 + (i % 9)]))
  const teams = [...shares.keys()]
  const reservation = {}
  const admission = createAdmission({
    pool: 'p',
    clock,
    rng: Math.random,
    slots: () => 64,
    free: () => 64,
    tryStart: () => reservation,
    queue: createFairQueue({ shares, clock }),
    shares: () => shares,
  })
  const enterRepeatedly = async (count: number) => {
    for (let i = 0; i < count; i++) {
      const team = teams[i % teams.length] ?? ''
      const admitted = await admission.enter({ team, deadline: Number.MAX_VALUE, requestId: 'r' })
      admitted.end()
    }
  }
  await enterRepeatedly(20_000)
  const startedAt = performance.now()
  await enterRepeatedly(rounds)
  return ((performance.now() - startedAt) / rounds) * 1000
}
