import t from 'tap'
import { chooseRelays } from '../src/index.js'

const relay = (zone: string, startsPerSecond: number) => ({
  address: '127.0.0.1:1',
  instance: 'i',
  zone,
  startsPerSecond,
})

const relays = new Map([
  ['h1', relay('a', 324)],
  ['h2', relay('a', 1_350)],
  ['h3', relay('a', 324)],
  ['h4', relay('b', 324)],
])

void t.test('the strongest hosts of a zone relay for its runners, one for 40 of them', t => {
  const chosen = chooseRelays({
    relays,
    runnersByZone: new Map([
      ['a', 63],
      ['b', 63],
    ]),
    excluded: new Set(),
  })
  t.strictSame(chosen.get('a'), ['h2', 'h1'])
  t.strictSame(chosen.get('b'), ['h4'])
  t.end()
})

// Guards against calls through a host that has failed a moment ago.
void t.test('an excluded host is replaced by the next one of its zone', t => {
  const runnersByZone = new Map([
    ['a', 40],
    ['b', 40],
  ])
  const chosen = chooseRelays({ relays, runnersByZone, excluded: new Set(['h2', 'h4']) })
  t.strictSame(chosen.get('a'), ['h1'])
  t.strictSame(chosen.get('b'), [])
  t.end()
})
