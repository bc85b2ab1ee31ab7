import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { waitUntil } from '@bulrushbridge/standins'
import t, { type Test } from 'tap'
import { connectionSignal, createCallerServer, type ClientLimits } from '../src/index.js'

const defaultLimits: ClientLimits = {
  maxConnections: 10,
  maxAddressConnections: 10,
  maxRequests: 100,
  maxAddressRequests: 100,
  maxPipelinedRequests: 4,
  maxUnreadResponses: 100,
  maxUnparsedBytes: 1_000_000,
  maxUnreadMs: 1_000,
  closesBusyConnections: false,
}

const request = 'GET /job HTTP/1.1\r\nhost: h\r\n\r\n'

/** A server whose requests wait until the test answers them. */
async function setup(
  t: Test,
  limits: Partial<ClientLimits> = {},
  { responseBytes = 10, givesUp = true } = {},
) {
  const waiting: (() => void)[] = []
  const causes: string[] = []
  const signals: AbortSignal[] = []
  const server = await createCallerServer({
    host: '127.0.0.1',
    port: 0,
    nextRequestId: () => 'id',
    routes: {
      '/**': async (req, res) => {
        const signal = connectionSignal(req.socket)
        signals.push(signal)
        await new Promise<void>(resolve => {
          waiting.push(resolve)
          if (givesUp)
            signal.addEventListener('abort', () => {
              resolve()
            })
        })
        res.end('x'.repeat(responseBytes))
      },
    },
    onError: ({ kind }) => causes.push(kind),
    limits: { ...defaultLimits, ...limits },
    onLimit: cause => causes.push(cause),
  })
  t.teardown(() => server.close())
  const sockets: Socket[] = []
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
  })
  const open = async () => {
    const socket = connect(Number(server.address.split(':')[1]), '127.0.0.1')
    sockets.push(socket)
    socket.on('error', () => undefined)
    await once(socket, 'connect')
    return socket
  }
  const answerAll = () => {
    for (const answer of waiting.splice(0)) answer()
  }
  return { server, open, answerAll, causes, signals }
}

function countResponses(socket: Socket): () => number {
  let text = ''
  socket.on('data', (chunk: Buffer) => (text += chunk.toString()))
  return () => text.split('HTTP/1.1 200').length - 1
}

// Guards against requests that are parsed and held however many a connection sends ahead, and against
// a connection that is not read any more after its responses were delivered.
void t.test('a connection is not read at its bound, and goes on below it', async t => {
  const { server, open, answerAll } = await setup(t)
  const socket = await open()
  const responses = countResponses(socket)
  socket.write(request.repeat(500))
  await waitUntil(() => server.held().unparsedBytes > 0)
  t.ok(server.held().requests < 4 + 20, `${server.held().requests} requests are held`)
  await waitUntil(() => {
    answerAll()
    return responses() === 500
  })
  await waitUntil(() => server.held().requests === 0)
  t.match(server.held(), { connections: 1, unreadResponses: 0, unparsedBytes: 0 })
})

// Guards against a body that is not read because earlier requests of its connection are at the bound.
void t.test('a large body that follows pipelined requests arrives', async t => {
  const { open, answerAll } = await setup(t)
  const socket = await open()
  const responses = countResponses(socket)
  const body = 'b'.repeat(300_000)
  socket.write(request.repeat(6))
  socket.write(`POST /job HTTP/1.1\r\nhost: h\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
  socket.write(request)
  await waitUntil(() => {
    answerAll()
    return responses() === 8
  })
})

// Guards against requests behind a body that are parsed with its last piece however many there are.
void t.test('a connection is not read at its bound behind a body either', async t => {
  const { server, open, answerAll } = await setup(t)
  const socket = await open()
  const responses = countResponses(socket)
  const body = 'b'.repeat(8_000)
  const submission = `POST /job HTTP/1.1\r\nhost: h\r\ncontent-length: ${body.length}\r\n\r\n${body}`
  socket.write(submission + request.repeat(500))
  await waitUntil(() => server.held().requests > 3)
  t.ok(server.held().requests < 4 + 20, `${server.held().requests} requests are held`)
  await waitUntil(() => {
    answerAll()
    return responses() === 501
  })
})

// Guards against a client that holds responses for good by not reading them.
void t.test('a client that does not read is closed', async t => {
  const { server, open, answerAll, causes } = await setup(t, {}, { responseBytes: 3_000_000 })
  const socket = await open()
  socket.pause()
  socket.write(request.repeat(10))
  await waitUntil(() => {
    answerAll()
    return server.held().connections === 0
  })
  t.same(causes, ['responses-unread'])
  t.match(server.held(), { requests: 0, unreadResponses: 0, unparsedBytes: 0 })
})

// Guards against requests that hold a place, and what they wait for, after their caller has left.
void t.test('the end of a connection frees its requests at once', async t => {
  const { server, open, signals } = await setup(t)
  const socket = await open()
  socket.write(request.repeat(2))
  await waitUntil(() => server.held().requests === 2)
  socket.destroy()
  await waitUntil(() => server.held().requests === 0)
  t.same(
    signals.map(({ aborted }) => aborted),
    [true, true],
  )
})

// Guards against handlers of closed connections that pile up uncounted while a client connects again.
void t.test('a request counts until its handler has ended', async t => {
  const { server, open, answerAll } = await setup(t, {}, { givesUp: false })
  const socket = await open()
  socket.write(request.repeat(2))
  await waitUntil(() => server.held().requests === 2)
  socket.destroy()
  await waitUntil(() => server.held().connections === 0)
  t.equal(server.held().requests, 2)
  answerAll()
  await waitUntil(() => server.held().requests === 0)
})

// Guards against a process that takes more requests than its memory allows, and against a rejection
// that does not say so.
void t.test('requests beyond the bound are rejected as not run', async t => {
  const { server, open, answerAll, causes } = await setup(t, { maxAddressRequests: 2 })
  const first = await open()
  first.write(request.repeat(2))
  await waitUntil(() => server.held().requests === 2)
  const second = await open()
  let text = ''
  second.on('data', (chunk: Buffer) => (text += chunk.toString()))
  second.write(request.repeat(50))
  await once(second, 'close')
  t.match(text, /^HTTP\/1.1 429 /)
  t.match(text, /bulrush-outcome: not-run/)
  t.match(text, /connection: close/)
  t.equal(text.split('HTTP/1.1').length - 1, 1, 'requests after the last response are not handled')
  t.same(causes, ['requests-of-address', 'client-limit-reached'])
  answerAll()
  await waitUntil(() => server.held().requests === 0)
})

// Guards against idle connections that keep others out, and against the closing of busy ones.
void t.test('the oldest idle connection is closed for a new one', async t => {
  const { server, open, answerAll, causes } = await setup(t, { maxConnections: 2 })
  const busy = await open()
  const responses = countResponses(busy)
  busy.write(request)
  await waitUntil(() => server.held().requests === 1)
  const idle = await open()
  idle.resume()
  const closed = once(idle, 'close')
  await open()
  await closed
  answerAll()
  await waitUntil(() => responses() === 1)
  t.same(causes, ['idle-closed'])
})

// Guards against Node's own response to a request without a host, which precedes the bounds.
void t.test('requests without a host are refused', async t => {
  const { open, causes } = await setup(t)
  const socket = await open()
  let text = ''
  socket.on('data', (chunk: Buffer) => (text += chunk.toString()))
  socket.write('GET /job HTTP/1.1\r\n\r\n'.repeat(100))
  await once(socket, 'close')
  t.match(text, /^HTTP\/1.1 400 /)
  t.same(causes, ['bad-request'])
})
