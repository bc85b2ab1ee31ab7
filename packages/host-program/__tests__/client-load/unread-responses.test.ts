import { runClients } from '@bulrushbridge/testbed'
import t from 'tap'
import { startHost } from './host-process.js'

const clients = 60

/** Bytes that each client sends at most; as requests they exceed the heap of the process. */
const maxBytes = 20_000_000

const loads = [
  {
    name: 'for a job, with the usual headers',
    port: 'callers',
    request: (headers: string, path: string) => `GET ${path} HTTP/1.1\r\n${headers}\r\n`,
  },
  {
    name: 'for a job, with the host only',
    port: 'callers',
    request: (headers: string, path: string) =>
      `GET ${path} HTTP/1.1\r\n${headers.split('\r\n')[0] ?? ''}\r\n\r\n`,
  },
  {
    name: 'for a job, without headers',
    port: 'callers',
    request: (_headers: string, path: string) => `GET ${path} HTTP/1.1\r\n\r\n`,
  },
  {
    name: 'to the readiness port',
    port: 'readiness',
    request: (headers: string) => `GET /v1/ready HTTP/1.1\r\n${headers}\r\n`,
  },
  {
    name: 'to the readiness port, without headers',
    port: 'readiness',
    request: () => 'GET /v1/ready HTTP/1.1\r\n\r\n',
  },
  {
    name: 'to the metrics port',
    port: 'metrics',
    request: (headers: string) => `GET /metrics HTTP/1.1\r\n${headers}\r\n`,
  },
  {
    name: 'to the relay port',
    port: 'relay',
    request: (headers: string) => `GET /none HTTP/1.1\r\n${headers}\r\n`,
  },
] as const

// Guards against a process that holds a request, or a response, for each of the requests that a
// connection sends ahead, until it runs out of memory.
for (const { name, port, request } of loads) {
  void t.test(`pipelined requests ${name}, whose responses are not read`, async t => {
    const host = await startHost(t)
    const repeated = request(host.usualHeaders, host.jobPath)
    const target = { host: host.ip, port: host.ports[port] }
    const load = await runClients({ ...target, clients, repeated, maxBytes })
    load.close()
    await host.checkAfterLoad(t)
  })
}
