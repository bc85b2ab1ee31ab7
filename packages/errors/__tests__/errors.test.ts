import t from 'tap'
import { BaseError, RequestError, toRequestError } from '../src/index.js'

void t.test('a RequestError keeps its type, kind and message when it has a cause', t => {
  const err = new RequestError('queue-full', { retryAfterMs: 5, cause: new Error('secret') })
  t.ok(err instanceof RequestError && err instanceof BaseError)
  t.match(err, { kind: 'queue-full', outcome: 'not-run', message: 'The queue is full.' })
  t.equal(toRequestError(err), err)
  t.match(toRequestError(new Error('x')), { kind: 'internal', outcome: 'unknown' })
  t.end()
})
