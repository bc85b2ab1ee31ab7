import t, { type Test } from 'tap'
import { createHostListStandin, createManualClock } from '@bulrushbridge/standins'
import { createHostListClient, HostListError } from '../src/index.js'

const hosts = [{ id: 'h', address: '127.0.0.2:1', zone: 'a', rack: 'r', state: 'live' as const }]

async function createFixture(t: Test) {
  const standin = await createHostListStandin({ hosts })
  t.teardown(() => standin.close())
  const clock = createManualClock()
  return { standin, clock, client: createHostListClient({ url: standin.url, clock }) }
}

void t.test(
  'an order that was executed before is accepted, and a lower generation is stale',
  async t => {
    const { client, clock } = await createFixture(t)
    const deadline = clock.now() + 5_000
    t.equal(await client.order('h', 'drain', 2, deadline), 'accepted')
    t.equal(await client.order('h', 'drain', 2, deadline), 'accepted')
    t.equal(await client.order('h', 'open', 1, deadline), 'stale')
    t.equal(await client.order('nowhere', 'open', 1, deadline), 'unknown-host')
    t.match(await client.list(deadline), [{ id: 'h', state: 'leaving', bootId: 'h-boot-0' }])
  },
)

void t.test(
  'a missing response, a lost response and a passed deadline are typed errors',
  async t => {
    const { client, clock, standin } = await createFixture(t)
    await t.rejects(client.list(clock.now()), HostListError)
    standin.faults.loseAnswers = { next: 1 }
    await t.rejects(client.order('h', 'drain', 1, clock.now() + 5_000), HostListError)
    t.equal(standin.currentHosts()[0]?.state, 'leaving', 'the order was executed all the same')
    standin.faults.silent = true
    await t.rejects(client.list(clock.now() + 50), HostListError)
    standin.faults.silent = false
    standin.faults.down = true
    await t.rejects(client.list(clock.now() + 5_000), HostListError)
  },
)

void t.test('an invalid list is an error and not an empty list', async t => {
  const { client, clock, standin } = await createFixture(t)
  standin.set([{ ...hosts[0], state: 'gone' } as never])
  await t.rejects(client.list(clock.now() + 5_000), HostListError)
})
