import { systemClock, type Clock } from '@bulrushbridge/errors'
import { HttpClient } from './http-client.js'
import { defaultCallMs } from './http-table-service.js'
import { StoreError } from './store-error.js'
import type { CallOptions, ObjectStore } from './table-service.js'

/**
 * Connects to the object store over HTTP. Objects are named by their content, so a put whose
 * answer was lost is repeated.
 *
 * @example
 * const objects = createHttpObjectStore({ url: 'http://127.0.0.9:7001' })
 * await objects.put('documents/4f1c', text)
 */
export function createHttpObjectStore(opts: { url: string; clock?: Clock }): ObjectStore {
  const clock = opts.clock ?? systemClock
  const http = new HttpClient(opts.url, clock)
  const call = (name: string, callOpts: CallOptions = {}) => ({
    path: `/objects/${encodeURIComponent(name)}`,
    deadline: callOpts.deadline ?? clock.now() + defaultCallMs,
  })
  const failed = (status: number) => new StoreError(`the object store answered ${status}`)
  return {
    async put(name, body, callOpts) {
      const { status } = await http.callTwice({ method: 'PUT', body, ...call(name, callOpts) })
      if (status >= 300) throw failed(status)
    },
    async get(name, callOpts) {
      const answer = await http.callTwice({ method: 'GET', ...call(name, callOpts) })
      if (answer.status === 404) return undefined
      if (answer.status !== 200) throw failed(answer.status)
      return answer.text
    },
    close: () => http.close(),
  }
}
