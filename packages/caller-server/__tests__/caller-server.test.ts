import { once } from 'node:events'
import { createConnection } from 'node:net'
import { RequestError } from '@bulrushbridge/errors'
import t from 'tap'
import { createCallerServer } from '../src/caller-server.js'

void t.test(
  'each response is ended once, and a request line may contain an absolute URL',
  async t => {
    const ends: string[] = []
    const server = await createCallerServer({
      host: '127.0.0.1',
      port: 0,
      nextRequestId: () => 'id',
      routes: {
        '/queues/:queue/call/**': (req, res) => {
          const end = res.end.bind(res)
          res.end = ((...args: Parameters<typeof end>) => {
            ends.push(req.url ?? '')
            return end(...args)
          }) as typeof res.end
          if (req.url?.endsWith('/fails')) return Promise.reject(new RequestError('queue-full'))
          res.end('done')
          return Promise.resolve()
        },
      },
      onError: () => undefined,
    })
    t.teardown(() => server.close())
    const [host = '', port = ''] = server.address.split(':')
    const socket = createConnection(Number(port), host)
    let received = ''
    socket.on('data', (chunk: Buffer) => (received += chunk.toString()))
    const targets = ['/queues/q/call/a?x=1', `http://${server.address}/queues/q/call/b`]
    // All requests use one connection, so each response must be complete before the next one.
    for (const target of [...targets, '/queues/q/call/fails']) {
      socket.write(`GET ${target} HTTP/1.1\r\nhost: h\r\n\r\n`)
    }
    socket.write('GET /else HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n')
    await once(socket, 'close')
    const statuses = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status)
    t.same(statuses, ['200', '200', '503', '404'])
    t.same(ends, ['/queues/q/call/a?x=1', '/queues/q/call/b', '/queues/q/call/fails'])
    t.equal(server.activeRequests(), 0)
  },
)

// Guards against a request that ends the process: its host is no part of a URL, and its path or query
// is one for which h3 builds a URL.
for (const target of ['/queue/../job', '/queue/\\job', "/queue/job?a='b'"]) {
  void t.test(`a host with a port out of range and the target ${target} is refused`, async t => {
    const kinds: string[] = []
    const server = await createCallerServer({
      host: '127.0.0.1',
      port: 0,
      nextRequestId: () => 'id',
      routes: {
        '/**': (_req, res) => {
          res.end('done')
          return Promise.resolve()
        },
      },
      onError: ({ kind }) => kinds.push(kind),
    })
    t.teardown(() => server.close())
    const [host = '', port = ''] = server.address.split(':')
    const socket = createConnection(Number(port), host)
    let received = ''
    socket.on('data', (chunk: Buffer) => (received += chunk.toString()))
    socket.write(`GET ${target} HTTP/1.1\r\nhost: queue:99999\r\n\r\n`)
    await once(socket, 'close')
    t.match(received, /^HTTP\/1\.1 400 /)
    t.equal((await fetch(`http://${server.address}/queue/job`)).status, 200)
    t.strictSame(kinds, ['bad-request'])
  })
}
