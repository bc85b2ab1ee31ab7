import { runClients } from '@bulrushbridge/testbed'
import t from 'tap'
import { startHost } from './host-process.js'

const clients = 60

/** Bytes that each client sends at most; together they exceed the heap of the process. */
const maxBytes = 20_000_000

// Guards against a relay that holds lines that do not end, each up to its bound, on many connections.
void t.test('endless lines to the relay port', async t => {
  const host = await startHost(t)
  const opening = 'POST /v1/relay HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
  const repeated = `1000\r\n${'x'.repeat(4_096)}\r\n`
  const target = { host: host.ip, port: host.ports.relay }
  const load = await runClients({ ...target, clients, opening, repeated, maxBytes })
  load.close()
  await host.checkAfterLoad(t)
})
