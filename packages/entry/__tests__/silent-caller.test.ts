import { connect } from 'node:net'
import t from 'tap'
import { createTestbed, until } from '@bulrushbridge/testbed'

/** Size that exceeds the socket buffers of loopback, so that an answer that is not read blocks. */
const answerBytes = 40_000_000

/** Time within which a caller that does not read must be given up, in milliseconds. */
const giveUpMs = 15_000

void t.test('a caller that stops reading its answer does not hold slot and permit', async t => {
  const bed = await createTestbed({ entryHosts: 1 })
  t.teardown(() => bed.close())
  const [entry] = bed.entries
  const [host = '', port = ''] = (entry?.callers ?? '').split(':')
  const socket = connect({ host, port: Number(port) })
  t.teardown(() => {
    socket.destroy()
  })
  socket.on('error', () => undefined)
  socket.pause()
  const path = `/queues/lamps/call/work?bytes=${answerBytes}`
  const key = bed.sample.keys.lamps ?? ''
  socket.write(`GET ${path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer ${key}\r\n\r\n`)
  const readGauge = async (name: string) => {
    const text = await (await fetch(`http://${entry?.operators ?? ''}/metrics`)).text()
    return Number(new RegExp(`^${name}(?:{.*})? (\\d+)$`, 'm').exec(text)?.[1] ?? 0)
  }
  await until(async () => (await readGauge('bulrush_permits_in_use')) === 1)
  await until(async () => (await readGauge('bulrush_permits_in_use')) === 0, giveUpMs)
  t.equal(await readGauge('bulrush_caller_requests'), 0)
})
