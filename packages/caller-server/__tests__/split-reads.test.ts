import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import t from 'tap'
import { splitReads } from '../src/split-reads.js'

const ignore = () => undefined

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
    splitReads(socket, { onHeld: ignore, onParsed: ignore, knownBodyBytes: () => 0 })
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

// Guards against bodies that cost several times as much as without the limits.
void t.test('a body of known length is parsed in larger pieces', async t => {
  const body = 'b'.repeat(20_000)
  const pieces: number[] = []
  const server = createServer((req, res) => {
    req.on('data', (piece: Buffer) => pieces.push(piece.length))
    req.on('end', () => res.end())
  })
  server.on('connection', socket => {
    let parsedBytes = 0
    splitReads(socket, {
      onHeld: ignore,
      onParsed: bytes => (parsedBytes += bytes),
      knownBodyBytes: () => (parsedBytes === 0 ? 0 : body.length - parsedBytes),
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => server.close())
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1').resume()
  const headers = `host: a\r\ncontent-length: ${body.length}\r\nconnection: close\r\n`
  client.write(`POST / HTTP/1.1\r\n${headers}\r\n${body}`)
  await once(client, 'close')
  t.equal(
    pieces.reduce((sum, piece) => sum + piece, 0),
    body.length,
  )
  t.ok(pieces.length < 10, 'it arrives in few pieces', { pieces })
  t.ok(Math.max(...pieces) <= 8_192, 'no piece is longer than its bound', { pieces })
})
