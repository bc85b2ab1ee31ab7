import t from 'tap'
import { createManualClock } from '@bulrushbridge/standins'
import { createVanishedMemberDetector } from '../src/index.js'

const processId = 'e1@i1'

function setup() {
  const clock = createManualClock()
  const detector = createVanishedMemberDetector({ clock })
  /** Runs a round at once and one after each of `count` seconds; returns the last result. */
  const runRounds = (count: number) => {
    let result = detector.evaluateRound([processId])
    for (let n = 0; n < count; n++) {
      clock.advance(1_000)
      result = detector.evaluateRound([processId])
    }
    return result
  }
  return { clock, detector, runRounds }
}

void t.test('an entry host is removed only after 10 s without any sign of life', t => {
  const { runRounds } = setup()
  t.same(runRounds(9), { probeTargets: [processId], vanished: [] })
  t.same(runRounds(1).vanished, [processId])
  t.end()
})

void t.test('an unchanged heartbeat row is no sign of life', t => {
  const { detector, runRounds } = setup()
  detector.recordHeartbeat(processId, 7)
  runRounds(6)
  detector.recordHeartbeat(processId, 7)
  t.same(runRounds(4).vanished, [processId], 'the row of a dead host does not keep it registered')
  detector.recordHeartbeat(processId, 8)
  t.same(runRounds(9).vanished, [], 'a newer heartbeat keeps it registered')
  t.end()
})

void t.test('an entry host that answers is not removed, though its heartbeats do not arrive', t => {
  const { detector, runRounds } = setup()
  runRounds(9)
  detector.recordSignOfLife(processId)
  t.same(runRounds(9).vanished, [])
  t.end()
})

void t.test('a store outage or a pause of the observer removes no entry host', t => {
  const { clock, runRounds } = setup()
  runRounds(8)
  clock.advance(60_000)
  t.same(runRounds(9).vanished, [], 'silence is measured anew after the gap')
  t.end()
})
