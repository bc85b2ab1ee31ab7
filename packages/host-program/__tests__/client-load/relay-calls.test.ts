import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import { waitUntil } from '@bulrushbridge/standins'
import { createLoopback, runClients } from '@bulrushbridge/testbed'
import t, { type Test } from 'tap'
import { startHost } from './host-process.js'

const clients = 20

/** Bytes that each client sends at most; as calls or results they exceed the heap of the process. */
const maxBytes = 20_000_000

const opening = 'POST /v1/relay HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'

const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`

const stop = (address: string, runnerId: string, fence: number, task = 't') => {
  const order = { task, run: 1, fence }
  return `${JSON.stringify({ id: 1, kind: 'stop', address, runnerId, order })}\n`
}

/** A server that accepts connections and never answers. */
async function startSilentRunner(t: Test, onConnection = () => undefined): Promise<string> {
  const host = createLoopback().nextAddress()
  const server = createServer(socket => {
    onConnection()
    socket.resume()
    socket.on('error', () => undefined)
  })
  await new Promise<void>(resolve => server.listen(0, host, resolve))
  t.teardown(() => server.close())
  const bound = server.address()
  return `${host}:${typeof bound === 'object' && bound !== null ? bound.port : 0}`
}

const shapes = [
  {
    // A call with an earlier fencing token is answered at once, without a call to a runner.
    name: 'whose results are not read',
    first: (runner: string) => stop(runner, 'r', 4_096),
    repeated: (runner: string) => stop(runner, 'r', 1),
  },
  {
    name: 'to very many runners',
    first: () => '',
    repeated: (runner: string) =>
      Array.from({ length: 1_000 }, (_, n) => stop(runner, `r${n}`, 1)).join(''),
  },
  {
    name: 'with large orders, to runners that do not answer',
    first: () => '',
    repeated: (runner: string) => stop(runner, 'r', 1, 'x'.repeat(100_000)),
  },
]

// Guards against a relay that holds the results of calls, the calls in progress, or a connection for
// each runner, without a bound.
for (const { name, first, repeated } of shapes) {
  void t.test(`relayed calls ${name}`, async t => {
    const host = await startHost(t)
    const runner = await startSilentRunner(t)
    const firstCall = first(runner)
    const load = await runClients({
      host: host.ip,
      port: host.ports.relay,
      clients,
      opening: opening + (firstCall === '' ? '' : chunk(firstCall)),
      repeated: chunk(repeated(runner)),
      maxBytes,
    })
    t.teardown(() => {
      load.close()
    })
    await host.checkAfterLoad(t)
  })
}

/** Runners that one client names in the test below; their names together exceed the heap. */
const namedRunners = 2_000

// Guards against a relay that keeps the fencing token of each runner that a client names, long after
// the client has gone.
void t.test(
  'relayed calls to runners with long names, on one connection after another',
  async t => {
    const host = await startHost(t)
    const target = { host: host.ip, port: host.ports.relay, clients: 1, opening }
    for (let n = 0; n < namedRunners; n += 100) {
      const calls = Array.from({ length: 100 }, (_, m) =>
        // Port 9 refuses connections.
        stop(`${host.ip}:9`, `${n + m}${'x'.repeat(65_000)}`, 1),
      )
      const repeated = calls.map(chunk).join('')
      const load = await runClients({ ...target, repeated, maxBytes: repeated.length })
      load.close()
    }
    await host.checkAfterLoad(t)
  },
)

/** Runners for which a dispatcher uses one relay. */
const runnersOfRelay = 40

// Guards against the refusal of an ordinary dispatcher where the limit of the process is lower than the
// number of descriptors that the platform states.
void t.test('the calls of a dispatcher to all runners of a relay are made', async t => {
  const host = await startHost(t, [], 'max_fds = 4100')
  let connections = 0
  const runner = await startSilentRunner(t, () => void (connections += 1))
  const socket = connect(host.ports.relay, host.ip)
  t.teardown(() => socket.destroy())
  await once(socket, 'connect')
  let results = ''
  socket.on('data', (data: Buffer) => (results += data.toString()))
  const calls = Array.from({ length: runnersOfRelay }, (_, n) => chunk(stop(runner, `r${n}`, 1)))
  socket.write(opening + calls.join(''))
  await waitUntil(() => connections === runnersOfRelay || results.includes('at a bound'))
  t.notMatch(results, 'at a bound')
  await host.checkAfterLoad(t)
})
