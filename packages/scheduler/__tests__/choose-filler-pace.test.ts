import t from 'tap'
import { chooseFillerPace } from '../src/index.js'

const fullPace = { percent: 100, raiseDelayStartedAt: undefined }

// Fillers slow down serving tasks on the same runner, by amounts that change within seconds.
void t.test('fillers stop as soon as a serving task nears its target', t => {
  t.equal(chooseFillerPace(fullPace, [{ tailLatencyMs: 95, targetMs: 100 }], 0).percent, 0)
  t.equal(chooseFillerPace(fullPace, [{ tailLatencyMs: 80, targetMs: 100 }], 0).percent, 100)
  t.end()
})

// Guards against fillers that resume at once and push the serving task over its target again.
void t.test('fillers resume in steps once latencies have been low for a time', t => {
  const lowLatency = [{ tailLatencyMs: 20, targetMs: 100 }]
  let pace = chooseFillerPace({ percent: 0, raiseDelayStartedAt: undefined }, lowLatency, 0)
  t.equal(pace.percent, 0)
  pace = chooseFillerPace(pace, lowLatency, 1_900)
  t.equal(pace.percent, 0)
  pace = chooseFillerPace(pace, lowLatency, 2_100)
  t.equal(pace.percent, 25)
  pace = chooseFillerPace(pace, [{ tailLatencyMs: 70, targetMs: 100 }], 4_200)
  t.equal(pace.percent, 25)
  t.equal(chooseFillerPace(pace, lowLatency, 4_300).percent, 25)
  t.end()
})
