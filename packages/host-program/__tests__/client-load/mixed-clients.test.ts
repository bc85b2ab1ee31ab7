import { runClients, type ClientLoad, type OpenLoad } from '@bulrushbridge/testbed'
import t from 'tap'
import { startHost, type HostProcess } from './host-process.js'

const clients = 60

/** Bytes that each client sends at most. */
const maxBytes = 20_000_000

/** Time after which a client that comes back cuts its connection, in milliseconds. */
const reopenAfterMs = 50

const localAddresses = Array.from({ length: clients }, (_, n) => `127.252.0.${n + 1}`)

type Shape = (host: HostProcess) => Pick<ClientLoad, 'port' | 'opening' | 'repeated'>

const getJob: Shape = host => ({
  port: host.ports.callers,
  repeated: `GET ${host.jobPath} HTTP/1.1\r\n${host.usualHeaders}\r\n`,
})
const askReadiness: Shape = host => ({
  port: host.ports.readiness,
  repeated: 'GET /v1/ready HTTP/1.1\r\n\r\n',
})
const sendTrailers: Shape = host => ({
  port: host.ports.callers,
  opening: `POST ${host.jobPath} HTTP/1.1\r\n${host.usualHeaders}transfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n`,
  repeated: 'a:b\r\n',
})
const submit: Shape = host => {
  const body = `{"steps":[${'{},'.repeat(60_000)}{}]}`
  const headers = `${host.usualHeaders}content-length: ${body.length}\r\n`
  return {
    port: host.ports.callers,
    repeated: `POST /jobs/00000000000000a4 HTTP/1.1\r\n${headers}\r\n${body}`,
  }
}

const loads: { name: string; shapes: Shape[]; load: Partial<ClientLoad> }[] = [
  { name: 'of many addresses', shapes: [getJob], load: { localAddresses } },
  { name: 'that come back', shapes: [getJob], load: { reopenAfterMs } },
  { name: 'that read slowly', shapes: [getJob], load: { readBytes: 64 } },
  { name: 'with bodies that parse into many objects', shapes: [submit], load: {} },
  {
    name: 'of all shapes and many addresses at once',
    shapes: [getJob, askReadiness, sendTrailers, submit],
    load: { localAddresses, clients: 15 },
  },
  {
    name: 'of all shapes that come back and read slowly',
    shapes: [getJob, askReadiness, sendTrailers, submit],
    load: { reopenAfterMs, readBytes: 64, clients: 15 },
  },
]

// Guards against bounds that hold for one shape, one address or lasting connections only.
for (const { name, shapes, load } of loads) {
  void t.test(`clients ${name}`, async t => {
    const host = await startHost(t)
    const open: OpenLoad[] = await Promise.all(
      shapes.map(shape =>
        runClients({ host: host.ip, clients, maxBytes, ...load, ...shape(host) }),
      ),
    )
    for (const each of open) each.close()
    await host.checkAfterLoad(t)
  })
}
