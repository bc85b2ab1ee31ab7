import t from 'tap'
import { MachineOrderRate } from '../src/machine-order-rate.js'

// Guards against machines that arrive after a burst of demand is over: 16 moves a round, whatever rate
// the platform accepts, took more than two seconds for the machines of one pool.
void t.test(
  'the orders of a pool leave within moments, and never faster than the stated rate',
  t => {
    const rate = new MachineOrderRate(215, 0)
    t.equal(rate.available(0), 43)
    let sent = 0
    const sentBy: number[] = []
    for (let now = 0; now < 1_000; now += 10) {
      const count = rate.available(now)
      rate.take(count, now)
      sent += count
      sentBy.push(sent)
    }
    t.ok((sentBy[10] ?? 0) >= 60, `${sentBy[10]} orders within 100 ms`)
    t.ok(sent <= 215, `${sent} orders in the first second`)
    t.end()
  },
)

// Guards against orders that the platform rejects one after another: each costs a call and delays the
// machine by a round.
void t.test('rejected orders halve the rate, which recovers', t => {
  const rate = new MachineOrderRate(100, 0)
  for (let i = 0; i < 10; i++) rate.noteRejected(0)
  t.equal(rate.available(0), 0, 'nothing is left of what was saved')
  const slowed = rate.available(250)
  t.ok(slowed > 0 && slowed < 20, `${slowed} orders after 250 ms at a reduced rate`)
  t.equal(rate.available(10_000), 20, 'the whole rate is back')
  t.end()
})

// Guards against a standstill: repeated orders are sent in any case, and may exceed the rate for a while.
void t.test('orders beyond the rate delay the next ones', t => {
  const rate = new MachineOrderRate(10, 0)
  rate.take(16, 0)
  t.equal(rate.available(0), 0)
  t.equal(rate.available(1_000), 0)
  t.equal(rate.available(1_500), 2)
  t.end()
})

// Guards against a wave that is late: while the platform gave no answer, each repetition was counted, and
// no new order followed for a minute.
void t.test('orders resume within two seconds after many repetitions', t => {
  const rate = new MachineOrderRate(32, 0)
  for (let now = 0; now < 20_000; now += 250) rate.take(25, now)
  t.ok(rate.available(22_000) > 0)
  t.end()
})
