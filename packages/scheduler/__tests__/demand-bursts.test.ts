import t from 'tap'
import { playTurns, type TurnsOptions } from './demand-bursts.js'

const seeds = [1, 2, 3, 4, 5, 6]

/** Means over the seeds, each of which gives all policies the same jobs. */
function play(opts: Omit<TurnsOptions, 'seed'> = {}) {
  const results = seeds.map(seed => playTurns({ seed, ...opts }))
  const mean = (key: keyof (typeof results)[0]) =>
    results.reduce((sum, result) => sum + result[key], 0) / results.length
  return {
    served: mean('served'),
    worstWindow: mean('worstWindow'),
    largest: mean('largest'),
    machineSeconds: mean('machineSeconds'),
  }
}

// Pattern: demand goes round four queues in turns of 8.5 seconds, about five times the mean of each
// and more than its pool holds.
void t.test('turns of demand', { timeout: 120_000 }, t => {
  const moved = play()
  const fixed = play({ planMoves: () => [] })
  // Guards against moves that cost machines and serve nobody.
  t.ok(moved.served > fixed.served, 'moves serve more work than pools of fixed size')
  t.ok(moved.worstWindow > fixed.worstWindow, 'moves serve more in the worst seconds')
  // With every machine on for the whole time, pools of fixed size take 32 machines for 34 s.
  t.ok(moved.machineSeconds < (32 + 8) * 34, 'machines are off between the turns')
  const late = play({ idlePauseMs: 1_000 })
  // Guards against a look at the machines that comes late in a turn.
  t.ok(moved.worstWindow >= late.worstWindow, 'machines are ordered as soon as work waits')
  // The users' page: the largest tenth is served at least half as often as the whole kind.
  t.ok(moved.largest >= moved.served / 2, 'large jobs are not starved')
  t.end()
})
