import t from 'tap'
import { playTurns, type TurnsOptions } from './turns.js'

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
    moves: mean('moves'),
  }
}

// Pattern: demand goes round four queues in turns of four seconds, five times the mean of each and
// more than its pool holds.
void t.test('turns of demand', { timeout: 120_000 }, t => {
  const moved = play()
  const fixed = play({ planMoves: () => [] })
  // Guards against moves that cost machines and serve nobody.
  t.ok(moved.served > fixed.served, 'moves serve more work than pools of fixed size')
  t.ok(moved.worstWindow > fixed.worstWindow, 'moves serve more in the worst seconds')
  const late = play({ idlePauseMs: 1_000 })
  // Guards against a look at the machines that comes late in a turn.
  t.ok(moved.worstWindow >= late.worstWindow, 'machines are ordered as soon as work waits')
  // The users' page: the largest tenth is served at least half as often as the whole kind.
  t.ok(moved.largest >= moved.served / 2, 'large jobs are not starved')
  t.end()
})
