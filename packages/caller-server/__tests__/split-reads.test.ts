import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import t from 'tap'
import { splitReads } from '../src/split-reads.js'

// Guards against clients that cut connections with much unparsed data, which ended a busy process.
void t.test('a destroyed connection parses no more of what it has read', async t => {
  let isHeld = true
  let parsedAfterDestroy = 0
  const server = createServer(({ socket }) => {
    if (socket.destroyed) parsedAfterDestroy += 1
    else if (!isHeld) socket.destroy()
    else socket.pause()
  })
  server.on('connection', socket => {
    splitReads(socket, () => undefined)
    // Node resumes the socket after each request.
    const resume = socket.resume.bind(socket)
    socket.resume = () => (isHeld ? socket : resume())
    setTimeout(() => {
      t.ok(socket.readableLength > 50_000, 'most requests are read and not parsed')
      isHeld = false
      socket.resume()
    }, 100)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1').resume()
  t.teardown(() => {
    client.destroy()
    server.close()
  })
  client.on('error', () => undefined)
  client.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(2_000))
  await once(client, 'close')
  t.ok(parsedAfterDestroy < 30, 'not more than one piece is parsed', { parsedAfterDestroy })
})
