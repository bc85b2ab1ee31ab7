import { connect, type Socket } from 'node:net'
import t from 'tap'
import { startHost, type HostProcess } from './host-process.js'

/** More connections than the process may have descriptors. */
const connectionCount = 500

/** Connections that are opened at a time; more would overflow the queue of the listening socket. */
const batchSize = 50

/** Time for a batch to be accepted, in milliseconds; connections that were refused do not end it. */
const batchMs = 200

const shapes = [
  { name: 'that send nothing', port: 'callers', text: () => '' },
  {
    name: 'that send only a part of their headers',
    port: 'callers',
    text: () => 'GET / HTTP/1.1\r\na:',
  },
  {
    name: 'that send only a part of their body',
    port: 'callers',
    text: (host: HostProcess) =>
      `POST /jobs/00000000000000a2 HTTP/1.1\r\n${host.usualHeaders}content-length: 100\r\n\r\n{`,
  },
  { name: 'to the readiness port', port: 'readiness', text: () => '' },
  { name: 'to the metrics port', port: 'metrics', text: () => '' },
  { name: 'to the relay port', port: 'relay', text: () => '' },
  {
    name: 'with a call in progress, to the relay port',
    port: 'relay',
    text: () => 'POST /v1/relay HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n',
  },
] as const

// Guards against connections that take all descriptors, so that callers and the store cannot be
// reached any more.
for (const { name, port, text } of shapes) {
  void t.test(`more connections than descriptors ${name}`, async t => {
    const host = await startHost(t)
    const sockets: Socket[] = []
    t.teardown(() => {
      for (const socket of sockets) socket.destroy()
    })
    while (sockets.length < connectionCount) {
      for (let n = 0; n < batchSize; n++) {
        const socket = connect({ host: host.ip, port: host.ports[port] })
        // The server may close the connection at any time.
        socket.on('error', () => undefined)
        socket.write(text(host))
        sockets.push(socket)
      }
      await new Promise(resolve => setTimeout(resolve, batchMs))
    }
    await host.checkAfterLoad(t)
  })
}
