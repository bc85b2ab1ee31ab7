import { runClients } from '@bulrushbridge/testbed'
import t from 'tap'
import { startEntry } from './entry-process.js'

const clients = 60

/** Bytes that each client sends at most; as requests they exceed the heap of the process. */
const maxBytes = 20_000_000

const get = (path: string, headers: string) => `GET ${path} HTTP/1.1\r\n${headers}\r\n`

const loads = [
  {
    name: 'to a runner, with the usual headers',
    port: 'callers',
    request: (headers: string) => get('/queues/lamps/call/work', headers),
  },
  {
    name: 'to a runner, without headers',
    port: 'callers',
    request: () => get('/queues/lamps/call/work', ''),
  },
  {
    name: 'to a runner, without a key',
    port: 'callers',
    request: () => get('/queues/lamps/call/work', 'host: h\r\n'),
  },
  {
    name: 'for the jobs of a team',
    port: 'callers',
    request: (headers: string) => get('/queues/lamps-jobs/jobs', headers),
  },
  {
    name: 'for readiness',
    port: 'operators',
    request: () => get('/health/ready', 'host: h\r\n'),
  },
  {
    name: 'for readiness, without headers',
    port: 'operators',
    request: () => get('/health/ready', ''),
  },
  {
    name: 'for the metrics',
    port: 'operators',
    request: () => get('/metrics', 'host: h\r\n'),
  },
  {
    name: 'of an operator without a credential',
    port: 'operators',
    request: () => get('/operator/v1/status', 'host: h\r\n'),
  },
] as const

// Guards against a process that holds a request, or a response, for each of the requests that a
// connection sends ahead, until it runs out of memory.
for (const { name, port, request } of loads) {
  void t.test(`pipelined requests ${name}, whose responses are not read`, async t => {
    const entry = await startEntry(t)
    const repeated = request(entry.usualHeaders)
    const target = { host: entry.ip, port: entry.ports[port] }
    const load = await runClients({ ...target, clients, repeated, maxBytes })
    load.close()
    await entry.checkAfterLoad(t)
  })
}
