import t from 'tap'
import { simulateDemandBursts, type DemandBurstsOptions } from './demand-bursts.js'

const seeds = [1, 2, 3, 4, 5, 6]

/** Returns the means over all seeds; with the same seed, all policies get the same jobs. */
function simulateAllSeeds(opts: Omit<DemandBurstsOptions, 'seed'> = {}) {
  const results = seeds.map(seed => simulateDemandBursts({ seed, ...opts }))
  const mean = (key: keyof (typeof results)[0]) =>
    results.reduce((sum, result) => sum + result[key], 0) / results.length
  return {
    served: mean('served'),
    worstWindow: mean('worstWindow'),
    largest: mean('largest'),
    machineSeconds: mean('machineSeconds'),
  }
}

// Four queues have bursts of demand one after another. Each burst lasts 8.5 seconds at about five
// times the mean demand of the queue, which is more than its pool can run.
void t.test('bursts of demand reach one pool after another', { timeout: 120_000 }, t => {
  const moving = simulateAllSeeds()
  const fixed = simulateAllSeeds({ planMoves: () => [] })
  // Guards against moves of machines that do not increase the work served.
  t.ok(moving.served > fixed.served, 'moves serve more work than pools of fixed size')
  t.ok(moving.worstWindow > fixed.worstWindow, 'moves serve more in the worst seconds')
  // With every machine on for the whole time, pools of fixed size take 32 machines for 34 s.
  t.ok(moving.machineSeconds < (32 + 8) * 34, 'machines are off between the bursts')
  const late = simulateAllSeeds({ idlePauseMs: 1_000 })
  // Guards against plans of moves that are made too late in a burst.
  t.ok(moving.worstWindow >= late.worstWindow, 'machines are ordered as soon as work waits')
  // Target for callers: the largest tenth of the jobs is served at least half as well as all jobs.
  t.ok(moving.largest >= moving.served / 2, 'large jobs are not starved')
  t.end()
})
