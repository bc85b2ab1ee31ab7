import t from 'tap'
import { createLoadStateReader, type LocalLoad } from '../src/peer-load.js'

const idle: LocalLoad = { demand: [], runners: [], spare: [{ team: 'lamps', count: 3 }] }
const demand = [{ pool: 'finder', team: 'lamps', running: 1, waiting: 0 }]
const runners = [{ runner: 'r1', inFlight: 1 }]
const otherSpare = [{ team: 'lamps', count: 1 }]

function createReader() {
  const state = { now: 0, local: idle }
  const clock = { now: () => state.now }
  const read = createLoadStateReader({ clock, readLoad: () => state.local })
  return { state, read }
}

void t.test('guards against load changes that are reported only after the long interval', t => {
  for (const load of [{ demand }, { runners }]) {
    const { state, read } = createReader()
    const before = read()
    t.equal(before.isBusy, false)
    state.local = { ...idle, spare: otherSpare }
    t.not(read().fingerprint, before.fingerprint, 'spare permits changed while idle')
    state.local = { ...idle, ...load }
    t.equal(read().isBusy, true)
    t.not(read().fingerprint, before.fingerprint, 'work began')
    state.local = idle
    state.now = 2_000
    t.same(read(), before, 'work ended 2 s ago')
  }
  t.end()
})

void t.test('guards against an exchange in every round for a few short requests', t => {
  const { state, read } = createReader()
  state.local = { ...idle, runners }
  const busy = read()
  for (state.now = 500; state.now < 10_000; state.now += 500) {
    const isRunning = state.now % 1_500 === 0
    state.local = {
      ...idle,
      spare: isRunning ? otherSpare : idle.spare,
      runners: isRunning ? runners : [],
    }
    t.same(read(), busy)
  }
  t.end()
})
