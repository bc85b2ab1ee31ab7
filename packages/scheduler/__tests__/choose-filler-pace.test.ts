import t from 'tap'
import { choosePace } from '../src/index.js'

const fullPace = { percent: 100, calmSince: undefined }

// Fillers slow down serving tasks on the same runner, by amounts that change within seconds.
void t.test('fillers stop as soon as a serving task nears its target', t => {
  t.equal(choosePace(fullPace, [{ tailMs: 95, targetMs: 100 }], 0).percent, 0)
  t.equal(choosePace(fullPace, [{ tailMs: 80, targetMs: 100 }], 0).percent, 100)
  t.end()
})

// Guards against fillers that resume at once and push the serving task over its target again.
void t.test('fillers resume in steps once latencies have been low for a time', t => {
  const lowLatency = [{ tailMs: 20, targetMs: 100 }]
  let pace = choosePace({ percent: 0, calmSince: undefined }, lowLatency, 0)
  t.equal(pace.percent, 0)
  pace = choosePace(pace, lowLatency, 1_900)
  t.equal(pace.percent, 0)
  pace = choosePace(pace, lowLatency, 2_100)
  t.equal(pace.percent, 25)
  pace = choosePace(pace, [{ tailMs: 70, targetMs: 100 }], 4_200)
  t.equal(pace.percent, 25)
  t.equal(choosePace(pace, lowLatency, 4_300).percent, 25)
  t.end()
})
