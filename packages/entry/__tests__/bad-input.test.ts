import { createConnection } from 'node:net'
import t from 'tap'
import { createTestbed, type CallerRequest } from '@bulrushbridge/testbed'

/** Malformed requests, each with the status and the error kind that it must get. */
const cases: [name: string, req: Partial<CallerRequest>, status: number, kind: string][] = [
  ['unknown queue', { queue: 'nowhere' }, 404, 'unknown-queue'],
  ['queue of jobs', { queue: 'lamps-jobs' }, 404, 'unknown-queue'],
  ['key missing', { headers: { authorization: '' } }, 401, 'key-missing'],
  ['key malformed', { key: 'secret' }, 401, 'key-malformed'],
  ['key unknown', { key: `blr_lamps-1_${'x'.repeat(43)}` }, 401, 'key-invalid'],
  ['deadline not a number', { headers: { 'bulrush-deadline': 'soon' } }, 400, 'bad-deadline'],
  ['deadline zero', { headers: { 'bulrush-deadline': '0' } }, 400, 'bad-deadline'],
  ['deadline too long', { headers: { 'bulrush-deadline': '99999999' } }, 400, 'bad-deadline'],
  ['idempotency key with a blank', { idempotencyKey: 'a b' }, 400, 'bad-header'],
  ['headers too large', { headers: { filler: 'x'.repeat(20_000) } }, 431, 'header-too-large'],
]

void t.test('a malformed request is refused with its error and never reaches a runner', async t => {
  const bed = await createTestbed({ entryHosts: 1, env: { BULRUSH_MAX_BODY: '100000' } })
  t.teardown(() => bed.close())
  const started = () => bed.runners.reduce((sum, { stats }) => sum + stats.startedAt.length, 0)
  for (const [name, req, status, kind] of cases) {
    const answer = await bed.send(0, 'lamps', req)
    t.match(answer, { status, kind, outcome: 'not-run' }, name)
  }
  const body = 'x'.repeat(100_001)
  const large = await bed.send(0, 'lamps', { method: 'POST', body })
  t.match(large, { status: 413, kind: 'body-too-large', outcome: 'not-run' }, 'length too large')
  t.match(await sendRaw(bed, 'BREW /x HTTP/9.9'), /400 .*bulrush-error: bad-request/s, 'not HTTP')
  const key = bed.sample.keys.lamps ?? ''
  const head = `POST /queues/lamps/call/x HTTP/1.1\r\nhost: h\r\nauthorization: Bearer ${key}`
  const slow = await sendRaw(bed, `${head}\r\ncontent-length: 10\r\n\r\n12345`)
  t.match(slow, /408 .*bulrush-error: sender-too-slow/s, 'a body that stops in the middle')
  t.equal(started(), 0, 'no runner received any of them')
})

/**
 * Sends text, leaves the connection open, and returns what is received until the server closes it.
 */
function sendRaw(bed: { entries: { callers: string }[] }, text: string): Promise<string> {
  const [host = '', port = ''] = (bed.entries[0]?.callers ?? '').split(':')
  return new Promise(resolve => {
    const socket = createConnection({ host, port: Number(port) })
    let received = ''
    socket.on('data', (chunk: Buffer) => (received += chunk.toString()))
    socket.on('close', () => {
      resolve(received)
    })
    socket.on('error', () => undefined)
    socket.write(text.includes('\r\n') ? text : `${text}\r\n\r\n`)
  })
}
