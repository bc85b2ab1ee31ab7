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
