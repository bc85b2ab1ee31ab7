import { once } from 'node:events'
import { connect } from 'node:net'
import t from 'tap'
import { createPeerLink, createPeerServer, type PeerHandlers } from '../src/index.js'

const secret = 'peer-server-test-secret'

await t.test('guards against traffic of peers that is not counted', async t => {
  const handlers = { announce: () => ({ version: 7n }) } as unknown as PeerHandlers
  const server = await createPeerServer({ host: '127.0.0.1', port: 0, secret, handlers })
  t.teardown(() => server.close())
  t.equal(server.bytes(), 0)
  const link = createPeerLink({ address: server.address, secret })
  await link.calls.announce({ changes: [] })
  const first = server.bytes()
  t.ok(first > 0, 'an open connection is counted')
  await link.calls.announce({ changes: [{ version: 1n, body: 'x'.repeat(1_000) }] })
  t.ok(server.bytes() >= first + 1_000, 'a message is counted with its payload')
  const second = server.bytes()
  link.close()
  await new Promise(resolve => setTimeout(resolve, 50))
  t.ok(server.bytes() >= second, 'a closed connection stays counted')
})

// Guards against connections without the secret that take the place of peers.
await t.test('a connection without a valid call is closed for a newer one', async t => {
  const handlers = { announce: () => ({ version: 7n }) } as unknown as PeerHandlers
  const causes: string[] = []
  const server = await createPeerServer({
    ...{ host: '127.0.0.1', port: 0, secret, handlers },
    maxConnections: 2,
    onLimit: cause => causes.push(cause),
  })
  t.teardown(() => server.close())
  const [host = '', port = ''] = server.address.split(':')
  const open = async () => {
    const socket = connect(Number(port), host)
    t.teardown(() => socket.destroy())
    await once(socket, 'connect')
    return socket
  }
  const link = createPeerLink({ address: server.address, secret })
  t.teardown(() => {
    link.close()
  })
  await link.calls.announce({ changes: [] })
  const idle = await open()
  await Promise.all([once(idle.resume(), 'close'), open()])
  t.same(causes, ['unauthenticated-closed'])
  t.equal((await link.calls.announce({ changes: [] })).version, 7n)
  const secondLink = createPeerLink({ address: server.address, secret })
  t.teardown(() => {
    secondLink.close()
  })
  await secondLink.calls.announce({ changes: [] })
  const refused = await open()
  await once(refused.resume(), 'close')
  t.same(causes, ['unauthenticated-closed', 'unauthenticated-closed', 'connection-refused'])
})
