import { connect, type Socket } from 'node:net'
import t from 'tap'
import { startEntry } from './entry-process.js'

/** More connections than the process may have descriptors. */
const connectionCount = 500

/** Connections that are opened at a time; more would overflow the queue of the listening socket. */
const batchSize = 50

/** Time for a batch to be accepted, in milliseconds; connections that were refused do not end it. */
const batchMs = 200

// Guards against connections that take all descriptors, so that callers, runners and the store cannot be
// reached any more.
for (const port of ['callers', 'operators', 'peers'] as const) {
  for (const text of ['', 'GET / HTTP/1.1\r\na:']) {
    const what = text === '' ? 'nothing' : 'a part of a request'
    void t.test(`more connections to ${port} than descriptors, that send ${what}`, async t => {
      const entry = await startEntry(t)
      const sockets: Socket[] = []
      t.teardown(() => {
        for (const socket of sockets) socket.destroy()
      })
      while (sockets.length < connectionCount) {
        for (let n = 0; n < batchSize; n++) {
          const socket = connect({ host: entry.ip, port: entry.ports[port] })
          // The server may close the connection at any time.
          socket.on('error', () => undefined)
          socket.write(text)
          sockets.push(socket)
        }
        await new Promise(resolve => setTimeout(resolve, batchMs))
      }
      await entry.checkAfterLoad(t)
    })
  }
}
