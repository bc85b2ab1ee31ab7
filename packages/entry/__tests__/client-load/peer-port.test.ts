import { connect, type ClientHttp2Session } from 'node:http2'
import { runClients } from '@bulrushbridge/testbed'
import t, { type Test } from 'tap'
import { startEntry, type EntryProcess } from './entry-process.js'

const clients = 60

/** Bytes that each client sends at most; together they exceed the heap of the process. */
const maxBytes = 20_000_000

/** Time for which the load goes on, in milliseconds. */
const loadMs = 8_000

const call = { ':method': 'POST', ':path': '/bulrush.peer.v1.PeerService/Announce' }

/** Opens sessions that never close by themselves; the server may close them at any time. */
function openSessions(t: Test, entry: EntryProcess, settings = {}): ClientHttp2Session[] {
  const url = `http://${entry.ip}:${entry.ports.peers}`
  const sessions = Array.from({ length: clients }, () => connect(url, { settings }))
  for (const session of sessions) session.on('error', () => undefined)
  t.teardown(() => {
    for (const session of sessions) session.destroy()
  })
  return sessions
}

// Guards against a peer server that reads a message of any length before it checks the secret.
void t.test('endless messages without the secret', async t => {
  const entry = await startEntry(t)
  const block = Buffer.alloc(65_536)
  const endsAt = performance.now() + loadMs
  const send = async (session: ClientHttp2Session) => {
    const stream = session.request({ ...call, 'content-type': 'application/proto' })
    stream.on('error', () => undefined)
    for (let sent = 0; sent < maxBytes && !stream.destroyed; sent += block.length) {
      const isWritten = new Promise(resolve => stream.write(block, resolve))
      const hasTimePassed = new Promise<true>(resolve =>
        setTimeout(resolve, endsAt - performance.now(), true),
      )
      if ((await Promise.race([isWritten, hasTimePassed])) === true) return
    }
  }
  await Promise.all(openSessions(t, entry).map(send))
  await entry.checkAfterLoad(t)
})

/** Calls that each session has open. */
const openCalls = 2_000

// Guards against a peer server that holds any number of calls of a session, whose answers are not read.
void t.test('very many calls without the secret, whose answers are not read', async t => {
  const entry = await startEntry(t)
  for (const session of openSessions(t, entry, { initialWindowSize: 0 })) {
    for (let n = 0; n < openCalls && !session.destroyed; n++) {
      const stream = session.request({ ...call, 'content-type': 'application/json' })
      stream.on('error', () => undefined)
      stream.end('{"changes":[]}')
    }
    await new Promise(resolve => setTimeout(resolve, loadMs / clients))
  }
  await entry.checkAfterLoad(t)
})

/** Begins an HTTP/2 connection with an empty frame of settings. */
const preface = 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0'

const frames = [
  { name: 'pings', repeated: '\0\0\x08\x06\0\0\0\0\0abcdefgh' },
  { name: 'settings', repeated: '\0\0\0\x04\0\0\0\0\0' },
  { name: 'requests of another protocol', repeated: 'GET / HTTP/1.1\r\nhost: h\r\n\r\n' },
]

// Guards against a peer server that holds the answer to each of very many frames.
for (const { name, repeated } of frames) {
  void t.test(`${name}, whose answers are not read`, async t => {
    const entry = await startEntry(t)
    const opening = repeated.startsWith('GET') ? '' : preface
    const target = { host: entry.ip, port: entry.ports.peers }
    const load = await runClients({ ...target, clients, opening, repeated, maxBytes })
    load.close()
    await entry.checkAfterLoad(t)
  })
}
