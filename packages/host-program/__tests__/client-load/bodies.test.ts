import { runClients } from '@bulrushbridge/testbed'
import t from 'tap'
import { startHost } from './host-process.js'

const clients = 60

/** Bytes that each client sends at most; together they exceed the heap of the process. */
const maxBytes = 20_000_000

const line = (text: string) => `${text}\r\n`
const chunk = line('1000') + line('x'.repeat(4_096))

const shapes = [
  {
    name: 'an endless chunked body of a job',
    opening: (headers: string, path: string) =>
      `POST ${path} HTTP/1.1\r\n${headers}transfer-encoding: chunked\r\n\r\n`,
    repeated: chunk,
  },
  {
    name: 'an endless body of a request that needs none',
    opening: (headers: string, path: string) =>
      `GET ${path} HTTP/1.1\r\n${headers}transfer-encoding: chunked\r\n\r\n`,
    repeated: chunk,
  },
  {
    name: 'an endless body to an unknown path',
    opening: (headers: string) =>
      `POST /none HTTP/1.1\r\n${headers}transfer-encoding: chunked\r\n\r\n`,
    repeated: chunk,
  },
  {
    name: 'endless chunk extensions',
    opening: (headers: string, path: string) =>
      `POST ${path} HTTP/1.1\r\n${headers}transfer-encoding: chunked\r\n\r\n1;`,
    repeated: 'a',
  },
  {
    name: 'an endless header',
    opening: (headers: string, path: string) => `GET ${path} HTTP/1.1\r\n${headers}a: `,
    repeated: 'a',
  },
  {
    name: 'endless small headers',
    opening: (headers: string, path: string) => `GET ${path} HTTP/1.1\r\n${headers}`,
    repeated: 'a:\r\n',
  },
  {
    name: 'pipelined submissions that wait for permission to continue',
    opening: () => '',
    repeated:
      'POST /jobs/00000000000000a3 HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n{}',
  },
  {
    name: 'pipelined upgrades',
    opening: () => '',
    repeated:
      'GET /jobs/00000000000000a1 HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n',
  },
  {
    name: 'pipelined requests with an absolute target',
    opening: () => '',
    repeated: 'GET http://h:99999/jobs/../x HTTP/1.1\r\nhost: h:99999\r\n\r\n',
  },
  {
    name: 'two different lengths',
    opening: () => '',
    repeated: 'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab',
  },
] as const

// Guards against a process that holds bodies or headers without a bound, and against malformed
// requests that end it.
for (const { name, opening, repeated } of shapes) {
  void t.test(name, async t => {
    const host = await startHost(t)
    const target = { host: host.ip, port: host.ports.callers }
    const sent = { opening: opening(host.usualHeaders, host.jobPath), repeated, maxBytes }
    const load = await runClients({ ...target, clients, ...sent })
    load.close()
    await host.checkAfterLoad(t)
  })
}
