import { once } from 'node:events'
import { createServer } from 'node:net'
import t from 'tap'
import { Connection } from '../src/connection.js'

// In Node 20, resetting a socket whose FIN is being sent fails with EINVAL and leaves the handle
// open, which kept test processes busy until their time limit.
void t.test('closes a connection while the end of its socket is being sent', async t => {
  const server = createServer({ allowHalfOpen: true }, socket => {
    socket.on('error', () => undefined).resume()
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => {
    server.close()
  })
  const { port } = server.address() as { port: number }
  const conn = new Connection({ address: `127.0.0.1:${port}`, onClosed: () => undefined })
  const request = conn.get('/health', 2_000).catch(() => undefined)
  while (conn.bytesWritten === 0) await new Promise(resolve => setImmediate(resolve))
  const { socket } = conn
  const closed = socket && once(socket, 'close')
  socket?.on('error', () => undefined).end('x')
  conn.destroy()
  await closed
  t.ok(socket?.destroyed)
  await request
})
