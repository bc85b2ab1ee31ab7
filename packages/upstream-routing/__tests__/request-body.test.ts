import { PassThrough } from 'node:stream'
import t from 'tap'
import { bufferBody } from '../src/index.js'

void t.test('guards against a sender that occupies a slot by sending in small pieces', async t => {
  const body = new PassThrough()
  const timer = setInterval(() => body.write('x'), 20)
  t.teardown(() => {
    clearInterval(timer)
  })
  const result = await bufferBody(body, { timeoutMs: 200 }).catch((err: unknown) => err)
  t.match(result, { kind: 'sender-too-slow' })
})
