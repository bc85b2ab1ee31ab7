import { once } from 'node:events'
import { Agent, request } from 'node:http'
import t from 'tap'
import { createLoopback } from '@bulrushbridge/testbed'
import { createCallerServer, type CallerHandler } from '@bulrushbridge/caller-server'

const host = createLoopback().nextAddress()

/** Sends a request and returns the `connection` header of its answer. */
async function connectionHeader(address: string, agent: Agent): Promise<string | undefined> {
  const req = request(`http://${address}/queues/lamps/call/work`, { agent }).end()
  const [res] = (await once(req, 'response')) as [import('node:http').IncomingMessage]
  res.resume()
  await once(res, 'end')
  return res.headers.connection
}

async function startServer(handler: CallerHandler) {
  const requestIds = { last: 0 }
  return createCallerServer({
    host,
    port: 0,
    nextRequestId: () => String(++requestIds.last),
    routes: { '/**': handler },
    onError: () => undefined,
  })
}

// A caller that keeps its connection open could send its next request while the server closes it.
void t.test('during a shutdown every answer ends its connection', async t => {
  let finish: () => void = () => undefined
  const finished = new Promise<void>(resolve => (finish = resolve))
  const server = await startServer(async (_req, res) => {
    if (server.activeRequests() === 1) await finished
    res.end('ok')
  })
  const agent = new Agent({ keepAlive: true })
  const inProgress = connectionHeader(server.address, agent)
  while (server.activeRequests() === 0) await new Promise(resolve => setImmediate(resolve))
  server.drain()
  t.equal(await connectionHeader(server.address, agent), 'close', 'a request sent after the drain')
  finish()
  t.equal(await inProgress, 'close', 'a request that was in progress')
  agent.destroy()
  await server.close()
})

// A request could already be on its way on an idle connection that is closed before the wait ends.
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
