import t from 'tap'
import { MachineOrderRate } from '../src/machine-order-rate.js'

// Guards against machines that arrive after a burst of demand is over: 16 moves a round, whatever rate
// the platform accepts, took more than two seconds for the machines of one pool.
void t.test('the orders of a whole pool may leave at once if the platform accepts them', t => {
  const rate = new MachineOrderRate(215, 0)
  t.equal(rate.available(0), 172, 'a fifth of the rate is left to others')
  rate.take(60, 0)
  t.equal(rate.available(0), 112)
  t.equal(rate.available(500), 172, 'what is not used is saved for a second only')
  t.end()
})

// Guards against orders that the platform rejects one after another: each costs a call and delays the
// machine by a round.
void t.test('rejected orders halve the rate, which recovers', t => {
  const rate = new MachineOrderRate(100, 0)
  for (let i = 0; i < 10; i++) rate.noteRejected(0)
  t.equal(rate.available(0), 0, 'nothing is left of what was saved')
  const slowed = rate.available(250)
  t.ok(slowed > 0 && slowed < 20, `${slowed} orders after 250 ms at a reduced rate`)
  t.equal(rate.available(10_000), 80, 'the whole rate is back')
  t.end()
})

// Guards against a standstill: repeated orders are sent in any case, and may exceed the rate for a while.
void t.test('orders beyond the rate delay the next ones', t => {
  const rate = new MachineOrderRate(10, 0)
  rate.take(16, 0)
  t.equal(rate.available(0), 0)
  t.equal(rate.available(1_000), 0)
  t.equal(rate.available(2_000), 8)
  t.end()
})
