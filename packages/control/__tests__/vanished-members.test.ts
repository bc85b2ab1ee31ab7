import t from 'tap'
import { createManualClock } from '@bulrushbridge/standins'
import { createVanishedMembers } from '../src/index.js'

const vote = 'e1@i1'

function setup() {
  const clock = createManualClock()
  const members = createVanishedMembers({ clock })
  /** Rounds each second; the result of the last one. */
  const rounds = (count: number) => {
    let last = members.round([vote])
    for (let n = 0; n < count; n++) {
      clock.advance(1_000)
      last = members.round([vote])
    }
    return last
  }
  return { clock, members, rounds }
}

void t.test('an entry host without any sign of life for 10 s has vanished', t => {
  const { rounds } = setup()
  t.same(rounds(9), { ask: [vote], vanished: [] })
  t.same(rounds(1).vanished, [vote])
  t.end()
})

void t.test('a heartbeat that does not move is no sign of life', t => {
  const { members, rounds } = setup()
  members.heartbeat(vote, 7)
  rounds(6)
  members.heartbeat(vote, 7)
  t.same(rounds(4).vanished, [vote], 'the row of a dead host does not keep it')
  members.heartbeat(vote, 8)
  t.same(rounds(9).vanished, [], 'a newer one does')
  t.end()
})

void t.test('an answer keeps an entry host whose heartbeats are cut off', t => {
  const { members, rounds } = setup()
  rounds(9)
  members.seen(vote)
  t.same(rounds(9).vanished, [])
  t.end()
})

void t.test('a store outage or a paused observer removes nobody', t => {
  const { clock, rounds } = setup()
  rounds(8)
  clock.advance(60_000)
  t.same(rounds(9).vanished, [], 'the waiting time begins anew')
  t.end()
})
