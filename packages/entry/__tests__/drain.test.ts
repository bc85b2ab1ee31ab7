import { once } from 'node:events'
import { Agent, request } from 'node:http'
import t from 'tap'
import { createLoopback } from '@bulrushbridge/testbed'
import { createCallerServer, type CallerHandler } from '@bulrushbridge/caller-server'

const host = createLoopback().next()

/** Sends a request and returns the `connection` header of its answer. */
async function connectionHeader(address: string, agent: Agent): Promise<string | undefined> {
  const req = request(`http://${address}/queues/lamps/call/work`, { agent }).end()
  const [res] = (await once(req, 'response')) as [import('node:http').IncomingMessage]
  res.resume()
  await once(res, 'end')
  return res.headers.connection
}

async function startServer(call: CallerHandler) {
  const ids = { last: 0 }
  return createCallerServer({
    host,
    port: 0,
    nextRequestId: () => String(++ids.last),
    routes: { '/**': call },
    onError: () => undefined,
  })
}

// A caller that keeps a connection past the shutdown would send its next request into the close.
void t.test('during a shutdown every answer ends its connection', async t => {
  let finish: () => void = () => undefined
  const held = new Promise<void>(resolve => (finish = resolve))
  const server = await startServer(async (_req, res) => {
    if (server.active() === 1) await held
    res.end('ok')
  })
  const agent = new Agent({ keepAlive: true })
  const running = connectionHeader(server.address, agent)
  while (server.active() === 0) await new Promise(resolve => setImmediate(resolve))
  server.drain()
  t.equal(await connectionHeader(server.address, agent), 'close', 'a request taken afterwards')
  finish()
  t.equal(await running, 'close', 'a request in progress')
  agent.destroy()
  await server.close()
})

// An idle connection closed at the start of the wait could meet a request on its way.
void t.test('idle connections stay open until the wait for the balancer is over', async t => {
  const server = await startServer((_req, res) => {
    res.end('ok')
    return Promise.resolve()
  })
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  t.equal(await connectionHeader(server.address, agent), 'keep-alive')
  server.drain()
  t.equal(await connectionHeader(server.address, agent), 'close', 'the open connection is served')
  const second = new Agent({ keepAlive: true })
  server.closeIdle()
  t.equal(await connectionHeader(server.address, second), 'close', 'new connections are served')
  agent.destroy()
  second.destroy()
  await server.close()
})
