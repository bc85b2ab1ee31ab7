import { runClients } from '@bulrushbridge/testbed'
import t from 'tap'
import { startEntry } from './entry-process.js'

const clients = 60

/** Bytes that each client sends at most. */
const maxBytes = 20_000_000

// Guards against a process that holds all lines that clients cause while its log is not read.
void t.test('failed requests while the log is not read', async t => {
  const entry = await startEntry(t)
  entry.stopReadingLog()
  const repeated = `GET /none/${'x'.repeat(8_000)} HTTP/1.1\r\n${entry.usualHeaders}\r\n`
  const target = { host: entry.ip, port: entry.ports.callers }
  const load = await runClients({ ...target, clients, repeated, maxBytes, readBytes: 65_536 })
  load.close()
  await entry.checkAfterLoad(t)
})
