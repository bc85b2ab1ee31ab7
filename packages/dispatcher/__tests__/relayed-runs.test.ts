import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import {
  createRelayedRunners,
  createRelayServer,
  relaysTable,
  type RelayServer,
} from '@bulrushbridge/runner-relay'
import { createMemoryRunner, waitUntil } from '@bulrushbridge/standins'
import { createLogger } from '@bulrushbridge/telemetry'
import t, { type Test } from 'tap'
import { createFleet, oneTask, type Fleet } from './fixture.js'

const id = '00000000000000d1'
const task = `${id}.0.0.0`

const log = createLogger({ program: 'test', level: 'silent' })

const createRunnerOf =
  (runners: Fleet['runners'], onCall: () => void = () => undefined) =>
  ({ runnerId }: { runnerId: string }) => {
    onCall()
    return (runners.get(runnerId) ?? createMemoryRunner()).api()
  }

/** A fleet that is large for its dispatcher, so that each call goes through a relay if there is one. */
const createRelayedFleet = () =>
  createFleet({
    connectRunners: ({ store, runners }) =>
      createRelayedRunners({
        store,
        host: 'host-1',
        startsPerSecond: 1,
        createRunner: createRunnerOf(runners),
        log,
      }),
  })

const announce = (fleet: Fleet, relay: Pick<RelayServer, 'address' | 'instance'>) => {
  const { address, instance } = relay
  const value = { address, instance, zone: 'zone-a', startsPerSecond: 100 }
  return fleet.store.commit({
    checks: [],
    writes: [{ table: relaysTable, key: 'host-3', value }],
  })
}

async function startRelay(t: Test, fleet: Fleet, onConnect: () => void): Promise<RelayServer> {
  const createRunner = createRunnerOf(fleet.runners, onConnect)
  const relay = await createRelayServer({ host: '127.0.0.1', port: 0, createRunner, log })
  t.teardown(() => relay.close())
  return relay
}

// Guards against runs that are started again, or given up, because the host that carried the calls
// to their runner was lost.
void t.test('runs continue when their relay is lost', async t => {
  const fleet = createRelayedFleet()
  const runner = await fleet.addRunner('r1')
  let relayedRunners = 0
  const relay = await startRelay(t, fleet, () => (relayedRunners += 1))
  await announce(fleet, relay)
  await fleet.submit(id, [oneTask, { ...oneTask, after: [0] }])
  const dispatcher = fleet.start('host-1')
  await waitUntil(() => runner.running.has(task))
  await waitUntil(() => relayedRunners > 0)
  await relay.close()
  await new Promise(resolve => setTimeout(resolve, 600))
  t.ok(runner.running.has(task))
  runner.end(task, 'done')
  await waitUntil(() => runner.running.has(`${id}.0.1.0`))
  runner.end(`${id}.0.1.0`, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  await dispatcher.close()
  t.equal(runner.startedRuns.length, 2)
})

// Guards against runs that are started again, or given up, because the host that carried the calls
// to their runner was paused: it accepts connections and does not answer.
void t.test('runs continue when their relay is silent', async t => {
  const fleet = createRelayedFleet()
  const runner = await fleet.addRunner('r1')
  let received = ''
  const server = createServer((req, res) => {
    res.writeHead(200, { 'relay-instance': 'silent' })
    res.flushHeaders()
    req.on('data', (chunk: Buffer) => (received += chunk.toString()))
    req.on('error', () => undefined)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  const { port } = server.address() as AddressInfo
  const dispatcher = fleet.start('host-1')
  await fleet.submit(id, [oneTask])
  await waitUntil(() => runner.running.has(task))
  await announce(fleet, { address: `127.0.0.1:${port}`, instance: 'silent' })
  await waitUntil(() => received.includes('poll'))
  await new Promise(resolve => setTimeout(resolve, 1_200))
  t.ok(runner.running.has(task))
  runner.end(task, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  await dispatcher.close()
  t.equal(runner.startedRuns.length, 1)
})

// Guards against a run that both dispatchers start around a handover, through the same relay.
void t.test('a run continues when another dispatcher takes over with the same relay', async t => {
  const fleet = createRelayedFleet()
  const runner = await fleet.addRunner('r1')
  await announce(fleet, await startRelay(t, fleet, () => undefined))
  await fleet.submit(id, [oneTask])
  const first = fleet.start('host-1')
  await waitUntil(() => runner.running.has(task))
  const second = fleet.start('host-2')
  await first.close()
  await waitUntil(() => second.isHolder)
  runner.end(task, 'done')
  await waitUntil(async () => (await fleet.progress(id))?.status === 'completed')
  await second.close()
  t.equal(runner.startedRuns.length, 1)
})
