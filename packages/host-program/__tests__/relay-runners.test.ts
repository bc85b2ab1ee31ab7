import t from 'tap'
import { relayRunners } from '../src/relay-runners.js'

// Guards against a relay whose connections take the descriptors of the other ports.
void t.test('a relay is connected to as many runners as a part of the descriptors allows', t => {
  t.same([4_100, 400, 10, Infinity].map(relayRunners), [170, 16, 1, 1_024])
  t.end()
})
