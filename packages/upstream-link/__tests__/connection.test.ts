import { once } from 'node:events'
import { createServer } from 'node:net'
import t from 'tap'
import { Connection } from '../src/connection.js'

// Node 20 fails a reset with EINVAL while the end of the socket is being sent, and the handle stays
// open; test processes with such handles spun until their time limit.
void t.test('a connection whose end is being sent is closed as well', async t => {
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
