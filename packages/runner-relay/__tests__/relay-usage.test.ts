import t from 'tap'
import { createRelayUsage } from '../src/relay-usage.js'

const bounds = {
  maxCalls: 2,
  maxCallLength: 100,
  maxPartialLength: 100,
  maxRunners: 1,
  maxUnreadBytes: 100,
}

// Guards against calls in progress that a relay holds without a bound.
void t.test('calls are counted by number and length until they end', t => {
  const usage = createRelayUsage(bounds)
  t.equal(usage.beginCall(101), 'relay-call-bytes')
  t.equal(usage.beginCall(60), undefined)
  t.equal(usage.beginCall(41), 'relay-call-bytes')
  t.equal(usage.beginCall(40), undefined)
  t.equal(usage.beginCall(0), 'relay-calls')
  usage.endCall(60)
  t.equal(usage.beginCall(60), undefined)
  t.end()
})

// Guards against lines without an end, and against a refusal to free them.
void t.test('lines that have not ended are bounded together', t => {
  const usage = createRelayUsage(bounds)
  t.ok(usage.addPartial(100))
  t.notOk(usage.addPartial(1))
  t.ok(usage.addPartial(-2))
  t.ok(usage.addPartial(1))
  t.end()
})

// Guards against results that pile up because many dispatchers read slowly.
void t.test('the connection with the most unread results is chosen beyond the bound', t => {
  const usage = createRelayUsage<string>(bounds)
  t.equal(usage.setUnread('a', 60), undefined)
  t.equal(usage.setUnread('b', 40), undefined)
  t.equal(usage.setUnread('b', 41), 'a')
  usage.setUnread('a', 0)
  t.equal(usage.setUnread('b', 100), undefined)
  t.end()
})
