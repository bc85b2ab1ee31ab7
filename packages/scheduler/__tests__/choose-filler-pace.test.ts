import t from 'tap'
import { choosePace } from '../src/index.js'

const full = { percent: 100, calmSince: undefined }

// Pattern: tasks that fill disturb tasks that serve, by amounts that change within seconds.
void t.test('fillers stop as soon as a serving task nears its target', t => {
  t.equal(choosePace(full, [{ tailMs: 95, targetMs: 100 }], 0).percent, 0)
  t.equal(choosePace(full, [{ tailMs: 80, targetMs: 100 }], 0).percent, 100)
  t.end()
})

// Guards against fillers that return at once and push the serving task over its target again.
void t.test('fillers return in steps after a calm time', t => {
  const calm = [{ tailMs: 20, targetMs: 100 }]
  let state = choosePace({ percent: 0, calmSince: undefined }, calm, 0)
  t.equal(state.percent, 0)
  state = choosePace(state, calm, 1_900)
  t.equal(state.percent, 0)
  state = choosePace(state, calm, 2_100)
  t.equal(state.percent, 25)
  state = choosePace(state, [{ tailMs: 70, targetMs: 100 }], 4_200)
  t.equal(state.percent, 25)
  t.equal(choosePace(state, calm, 4_300).percent, 25)
  t.end()
})
