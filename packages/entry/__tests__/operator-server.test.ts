import { once } from 'node:events'
import { createConnection } from 'node:net'
import type { ClientLimits } from '@bulrushbridge/caller-server'
import { createMetrics } from '@bulrushbridge/telemetry'
import { H3 } from 'h3'
import t from 'tap'
import { createOperatorServer } from '../src/operator-server.js'

const limits: ClientLimits = {
  maxConnections: 10,
  maxAddressConnections: 10,
  maxRequests: 100,
  maxAddressRequests: 100,
  maxPipelinedRequests: 2,
  maxUnreadResponses: 100,
  maxUnparsedBytes: 1_000_000,
  maxUnreadMs: 1_000,
  closesBusyConnections: true,
}

// Guards against a request that ends the process: h3 throws when the host and the target of a request
// together are not a URL.
void t.test('a host with a port out of range is refused', async t => {
  const server = await createOperatorServer({
    host: '127.0.0.1',
    port: 0,
    api: new H3(),
    metrics: createMetrics(),
    notReady: () => undefined,
    limits,
    onLimit: () => undefined,
  })
  t.teardown(() => server.close())
  const [host = '', port = ''] = server.address.split(':')
  const socket = createConnection(Number(port), host)
  let received = ''
  socket.on('data', (chunk: Buffer) => (received += chunk.toString()))
  socket.write('GET /health/../live HTTP/1.1\r\nhost: operator:99999\r\nconnection: close\r\n\r\n')
  await once(socket, 'close')
  t.match(received, /^HTTP\/1\.1 400 /)
  t.equal((await fetch(`http://${server.address}/health/live`)).status, 200)
})
