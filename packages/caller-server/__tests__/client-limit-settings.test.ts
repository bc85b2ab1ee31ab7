import { environmentName } from '@bulrushbridge/settings'
import t from 'tap'
import { createCachedValue } from '../src/cached-value.js'
import {
  callerLimits,
  clientLimitSettings,
  internalLimits,
  type ClientLimitSettings,
} from '../src/client-limit-settings.js'
import { createClientLogLimit } from '../src/client-log-limit.js'

const defaults = Object.fromEntries(
  Object.entries(clientLimitSettings).map(([name, spec]) => [
    name,
    spec.schema.parse(spec.default),
  ]),
) as ClientLimitSettings

// Guards against connections that take the descriptors that runners, the store and files need.
void t.test('connections take at most a part of the descriptors', t => {
  t.match(callerLimits(defaults, 4_100), { maxConnections: 2_048, maxAddressConnections: 1_920 })
  t.match(callerLimits(defaults, 400), { maxConnections: 200, maxAddressConnections: 200 })
  t.match(callerLimits(defaults, Infinity), { maxConnections: 2_048 })
  t.match(internalLimits(defaults, 4_100), { maxConnections: 64, closesBusyConnections: true })
  t.match(internalLimits(defaults, 400), { maxConnections: 25 })
  t.equal(environmentName('max-connections'), 'BULRUSH_MAX_CONNECTIONS')
  t.end()
})

// Guards against readiness checks that cost more the more there are, and against an outdated answer.
void t.test('a cached value is computed once within its age', t => {
  let computed = 0
  const read = createCachedValue(() => ++computed, 50)
  t.same([0, 49, 50, 99, 100].map(read), [1, 1, 2, 2, 3])
  t.end()
})

// Guards against one client whose failed requests take the log lines of all others.
void t.test('the log lines about one address are limited in each second', t => {
  const limit = createClientLogLimit(2)
  const allowed = (address: string, now: number) => limit.allows(address, now)
  t.same([allowed('a', 0), allowed('a', 1), allowed('a', 999)], [true, true, false])
  t.ok(allowed('b', 999))
  t.ok(allowed('a', 1_000))
  const others = Array.from({ length: 2_000 }, (_, n) => allowed(`c${n}`, 2_000))
  t.equal(others.filter(Boolean).length, 1_000, 'the memory for addresses is bounded')
  t.end()
})
