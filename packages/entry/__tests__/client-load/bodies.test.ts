import { runClients } from '@bulrushbridge/testbed'
import t from 'tap'
import { startEntry } from './entry-process.js'

const clients = 60

/** Bytes that each client sends at most; together they exceed the heap of the process. */
const maxBytes = 20_000_000

const chunk = `1000\r\n${'x'.repeat(4_096)}\r\n`
const body = 'x'.repeat(60_000)
const ids = `{"ids":[${'0,'.repeat(30_000)}0]}`

const post = (path: string, headers: string) =>
  `POST ${path} HTTP/1.1\r\n${headers}transfer-encoding: chunked\r\n\r\n`

/** A path on which a runner works for longer than the load goes on. */
const slowPath = '/queues/lamps/call/work?ms=8000'

const shapes = [
  {
    name: 'an endless body to a runner that is slow',
    opening: (headers: string) => post(slowPath, headers),
    repeated: () => chunk,
  },
  {
    name: 'an endless body of a job',
    opening: (headers: string) => post('/queues/lamps-jobs/jobs', headers),
    repeated: () => chunk,
  },
  {
    name: 'an endless body without a key',
    opening: () => post('/queues/lamps/call/work', 'host: h\r\n'),
    repeated: () => chunk,
  },
  {
    name: 'pipelined requests with bodies, to runners that are slow',
    opening: () => '',
    repeated: (headers: string) =>
      `POST ${slowPath} HTTP/1.1\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`,
  },
  {
    name: 'pipelined submissions of jobs',
    opening: () => '',
    repeated: (headers: string) =>
      `POST /queues/lamps-jobs/jobs HTTP/1.1\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`,
  },
  {
    name: 'pipelined cancellations of very many malformed ids',
    opening: () => '',
    repeated: (headers: string) =>
      `POST /queues/lamps-jobs/jobs/cancel HTTP/1.1\r\n${headers}content-length: ${ids.length}\r\n\r\n${ids}`,
  },
  {
    name: 'trailers without end',
    opening: (headers: string) => `${post('/queues/lamps/call/work', headers)}2\r\n{}\r\n0\r\n`,
    repeated: () => 'a:b\r\n',
  },
] as const

// Guards against a process that holds the bodies or trailers of requests without a bound.
for (const { name, opening, repeated } of shapes) {
  void t.test(name, async t => {
    const entry = await startEntry(t)
    const load = await runClients({
      ...{ host: entry.ip, port: entry.ports.callers, clients, maxBytes },
      opening: opening(entry.usualHeaders),
      repeated: repeated(entry.usualHeaders),
    })
    load.close()
    await entry.checkAfterLoad(t)
  })
}
