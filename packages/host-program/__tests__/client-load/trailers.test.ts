import { runClients } from '@bulrushbridge/testbed'
import t from 'tap'
import { startHost } from './host-process.js'

const clients = 60

/** Bytes of trailers that each client sends at most; together they exceed the heap of the process. */
const maxBytes = 20_000_000

const trailers = [
  { name: 'many small lines', opening: '', repeated: 'a:b\r\n' },
  { name: 'many lines without a value', opening: '', repeated: 'a:\r\n' },
  { name: 'one endless line', opening: 'a: ', repeated: 'b' },
  { name: 'one endless name', opening: '', repeated: 'a' },
]

// Guards against a process that holds the trailers of a request until it runs out of memory.
for (const { name, opening, repeated } of trailers) {
  void t.test(`endless trailers after a chunked body: ${name}`, async t => {
    const host = await startHost(t)
    const request = `POST ${host.jobPath} HTTP/1.1\r\n${host.usualHeaders}`
    const chunks = 'transfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n'
    const target = { host: host.ip, port: host.ports.callers }
    const sent = { opening: `${request}${chunks}${opening}`, repeated, maxBytes }
    const load = await runClients({ ...target, clients, ...sent })
    load.close()
    await host.checkAfterLoad(t)
  })
}
