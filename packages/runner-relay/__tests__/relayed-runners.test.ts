import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { RunnerApi } from '@bulrushbridge/scheduler'
import { waitUntil } from '@bulrushbridge/standins'
import t, { type Test } from 'tap'
import { instanceHeader } from '../src/relay-messages.js'
import { createNetwork, largeFleet, pollRequest, startOrder, untilRelayed } from './fixture.js'

const first = (runners: readonly RunnerApi[]): RunnerApi => {
  const [runner] = runners
  if (runner === undefined) throw new Error('no runner')
  return runner
}

/** A relay that accepts connections and whose lines the test writes. */
async function startFakeRelay(t: Test, instance: string) {
  const responses: ServerResponse[] = []
  let received = ''
  const server = createServer((req, res) => {
    res.writeHead(200, { [instanceHeader]: instance })
    res.flushHeaders()
    req.on('data', (chunk: Buffer) => (received += chunk.toString()))
    req.on('error', () => undefined)
    responses.push(res)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  const { port } = server.address() as AddressInfo
  return {
    address: `127.0.0.1:${port}`,
    connections: () => responses.length,
    received: () => received,
    write: (line: string) => responses.at(-1)?.write(`${line}\n`),
  }
}

/** Connects a dispatcher to a fake relay that is announced as the process `fake`. */
async function connectToFakeRelay(t: Test, instance = 'fake') {
  const network = createNetwork(t)
  const relay = await startFakeRelay(t, instance)
  await network.announce({ address: relay.address, instance: 'fake' })
  const api = first(network.connect())
  await waitUntil(() => {
    void api.poll(pollRequest)
    return relay.connections() > 0
  })
  await new Promise(resolve => setTimeout(resolve, 50))
  return { network, relay, api }
}

void t.test('calls of a large fleet are made by a relay in the zone of the runner', async t => {
  const network = createNetwork(t)
  await network.announce(await network.startRelay())
  const api = first(network.connect())
  await untilRelayed(api, network.callers)
  const started = await api.start(startOrder('j.0.0.0'))
  t.match(started, { outcome: 'done', value: { refusal: undefined } })
  network.runner('r0').end('j.0.0.0', 'done')
  const polled = await api.poll(pollRequest)
  t.match(polled, { outcome: 'done', value: { report: { ended: [{ task: 'j.0.0.0' }] } } })
  t.match(await api.stop({ task: 'j.0.0.0', run: 1, fence: 1 }), { outcome: 'done' })
  t.strictSame(network.callers.slice(-3), ['relay', 'relay', 'relay'])
})

void t.test('a relay without calls stays connected', async t => {
  const network = createNetwork(t)
  await network.announce(await network.startRelay())
  const api = first(network.connect())
  await untilRelayed(api, network.callers)
  await new Promise(resolve => setTimeout(resolve, 1_000))
  await api.poll(pollRequest)
  t.equal(network.callers.at(-1), 'relay')
})

void t.test('calls of a small fleet are not relayed', async t => {
  const network = createNetwork(t)
  await network.announce(await network.startRelay())
  const api = first(network.connect(largeFleet - 1))
  await new Promise(resolve => setTimeout(resolve, 200))
  await api.poll(pollRequest)
  await new Promise(resolve => setTimeout(resolve, 200))
  await api.poll(pollRequest)
  t.strictSame(network.callers, ['dispatcher', 'dispatcher'])
})

// Guards against a relay that was paused or cut: the outcome of its orders is not known, so a run
// must not count as never started, and the runners must be reached without it.
void t.test('a silent relay leaves orders unknown, and polls are made without it', async t => {
  const { network, relay, api } = await connectToFakeRelay(t)
  const [started, polled] = await Promise.all([
    api.start(startOrder('j.0.0.0')),
    api.poll(pollRequest),
  ])
  t.match(started, { outcome: 'unknown' })
  t.match(polled, { outcome: 'done' })
  t.match(relay.received(), /j\.0\.0\.0/)
  t.match(await api.start(startOrder('j.0.0.0')), { outcome: 'done' })
  t.equal(network.callers.at(-1), 'dispatcher')
  t.equal(network.runner('r0').startedRuns.length, 1)
})

// Guards against TWICE: a poll that a relay did not answer was repeated a second later, and could
// acknowledge ends of a runner that had restarted since.
void t.test('a poll that acknowledges ends is not repeated without the relay', async t => {
  const { network, api } = await connectToFakeRelay(t)
  const polled = await api.poll({ ...pollRequest, acknowledged: 1 })
  t.match(polled, { outcome: 'unknown' })
  t.equal(network.runner('r0').acknowledged, 0)
})

// Guards against a run that is started twice, or counts as not started, after the answer to its
// start was lost with the relay.
void t.test('a relay that ends before its answer arrives leaves the order unknown', async t => {
  const network = createNetwork(t)
  const relay = await network.startRelay()
  await network.announce(relay)
  const api = first(network.connect())
  await untilRelayed(api, network.callers)
  const starting = api.start(startOrder('j.0.0.0'))
  await waitUntil(() => network.runner('r0').startedRuns.length === 1)
  await relay.close()
  t.match(await starting, { outcome: 'unknown' })
  t.match(await api.start(startOrder('j.0.0.0')), {
    outcome: 'done',
    value: { refusal: undefined },
  })
  t.equal(network.runner('r0').startedRuns.length, 1)
})

// Guards against a malformed line that takes the dispatcher down or is taken for an answer.
for (const line of ['{', '[]', '{"id":"1"}', '{"id":1,"result":{"outcome":"done"}}']) {
  void t.test(`a malformed line of a relay ends only its connection: ${line}`, async t => {
    const { relay, api } = await connectToFakeRelay(t)
    const starting = api.start(startOrder('j.0.0.0'))
    await waitUntil(() => relay.received().includes('j.0.0.0'))
    relay.write(line)
    t.match(await starting, { outcome: 'unknown' })
    t.match(await api.poll(pollRequest), { outcome: 'done' })
  })
}

// Guards against calls through a process that got the address of a relay which has left.
void t.test('another process at the address of a relay is not used', async t => {
  const { network, relay, api } = await connectToFakeRelay(t, 'another')
  t.match(await api.start(startOrder('j.0.0.0')), { outcome: 'done' })
  t.equal(network.callers.at(-1), 'dispatcher')
  t.equal(relay.received(), '')
})

// Guards against an announcement of another writer that takes the dispatcher down: Node throws when
// a request is created with such an address.
for (const address of [
  '10.0.0.1:99999',
  '10.0.0.1:-1',
  '10.0.0.1:8.5',
  '10.0.0.1\n:80',
  'http://10.0.0.1:80/',
  ':',
  '',
]) {
  void t.test(`a relay with the address ${JSON.stringify(address)} is not used`, async t => {
    const network = createNetwork(t)
    await network.announce({ address, instance: 'odd' })
    const api = first(network.connect())
    await new Promise(resolve => setTimeout(resolve, 100))
    t.match(await api.poll(pollRequest), { outcome: 'done' })
    t.match(await api.start(startOrder('j.0.0.0')), { outcome: 'done' })
    t.strictSame(network.callers, ['dispatcher', 'dispatcher'])
  })
}

void t.test('a withdrawn relay is not used for new calls', async t => {
  const network = createNetwork(t)
  await network.announce(await network.startRelay())
  const api = first(network.connect())
  await untilRelayed(api, network.callers)
  const write = { table: 'relays', key: 'front-2', value: null }
  await network.store.commit({ checks: [], writes: [write] })
  await waitUntil(async () => {
    await api.poll(pollRequest)
    return network.callers.at(-1) === 'dispatcher'
  })
  t.match(await api.start(startOrder('j.0.0.0')), { outcome: 'done' })
  t.equal(network.callers.at(-1), 'dispatcher')
})

// Guards against a term that cannot end while a runner delays its answer to a poll.
void t.test('closing a runner settles its relayed poll at once', async t => {
  const network = createNetwork(t)
  await network.announce(await network.startRelay())
  const api = first(network.connect())
  await untilRelayed(api, network.callers)
  const polling = api.poll({ ...pollRequest, waitMs: 2_000 })
  const closedAt = performance.now()
  await api.close()
  t.match(await polling, { outcome: 'unknown' })
  t.ok(performance.now() - closedAt < 1_000)
})
