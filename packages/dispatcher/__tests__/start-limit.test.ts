import t from 'tap'
import { createStartLimit } from '../src/start-limit.js'

/** Pause before a pass, in milliseconds. */
const passPauseMs = 8

/** Interval at which the dispatcher renews its lease of 2 s, in milliseconds. */
const renewalIntervalMs = 2_000 / 3

/** Length of a play, and of its beginning that is not judged, in milliseconds. */
const playMs = 20_000
const settlingMs = 5_000

/**
 * Plays an event loop with more work than it can do. Each start costs `costMs`: half of it at once,
 * and half when the start is confirmed, in the next turn of the loop. Returns the longest turn after
 * the limit has settled, and the starts a second.
 */
function play(costMs: number, nextLimit: (delayMs: number) => number) {
  let now = 0
  let delayMs = 0
  let unconfirmed = 0
  let longestTurnMs = 0
  let startCount = 0
  while (now < playMs) {
    const starts = nextLimit(delayMs)
    const turnMs = (starts + unconfirmed) * (costMs / 2)
    unconfirmed = starts
    delayMs = Math.max(0, turnMs - passPauseMs)
    now += Math.max(turnMs, passPauseMs)
    if (now < settlingMs) continue
    startCount += starts
    longestTurnMs = Math.max(longestTurnMs, turnMs)
  }
  return { longestTurnMs, perSecond: startCount / ((playMs - settlingMs) / 1_000) }
}

// Pattern: backlog at a weak host. It began 200 starts at once, was late with the renewals of its
// lease and lost it, and the next host met the same backlog (small twin of large, quiet-1).
void t.test('a host that needs 15 ms for each start renews its lease in time', t => {
  const unlimited = play(15, () => 200)
  t.ok(unlimited.longestTurnMs > 2_000, `without a limit ${unlimited.longestTurnMs} ms`)
  const limit = createStartLimit()
  const { longestTurnMs, perSecond } = play(15, delayMs => limit.next(delayMs))
  t.ok(longestTurnMs < renewalIntervalMs, `longest turn ${longestTurnMs} ms`)
  t.ok(perSecond > 0.8 * (1_000 / 15), `${perSecond} starts a second`)
  t.end()
})

void t.test('a strong host is not held back', t => {
  const limit = createStartLimit()
  const { perSecond } = play(0.4, delayMs => limit.next(delayMs))
  t.ok(perSecond > 0.9 * (1_000 / 0.4), `${perSecond} starts a second`)
  t.end()
})
