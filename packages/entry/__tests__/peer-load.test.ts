import t from 'tap'
import { toLoadState } from '../src/peer-load.js'

void t.test('guards against changes of load that wait for the long interval', t => {
  const demand = [{ pool: 'finder', team: 'lamps', running: 1, waiting: 0 }]
  const runners = [{ runner: 'r1', inFlight: 1 }]
  const idle = { demand: [], runners: [], spare: [{ team: 'lamps', count: 3 }] }
  const moved = { ...idle, spare: [{ team: 'lamps', count: 1 }] }
  t.equal(toLoadState(idle).busy, false)
  t.equal(toLoadState({ ...idle, demand }).busy, true)
  t.equal(toLoadState({ ...idle, runners }).busy, true)
  t.not(toLoadState(idle).key, toLoadState({ ...idle, runners }).key, 'work begins or ends')
  t.not(toLoadState(idle).key, toLoadState(moved).key, 'permits were moved')
  t.equal(toLoadState({ ...idle, runners }).key, toLoadState({ ...moved, runners }).key)
  t.end()
})
