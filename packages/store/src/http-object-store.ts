import { systemClock, type Clock } from '@bulrushbridge/errors'
import { StorageHttpClient } from './storage-http-client.js'
import { defaultCallTimeoutMs } from './http-table-service.js'
import { StoreError } from './store-error.js'
import type { CallOptions, ObjectStore } from './table-service.js'

/**
 * Creates a client of the object store over HTTP. The name of an object is derived from its
 * content, so a `put` whose response was lost can safely be repeated.
 *
 * @example
 * const objects = createHttpObjectStore({ url: 'http://127.0.0.9:7001' })
 * await objects.put('documents/4f1c', text)
 */
export function createHttpObjectStore(opts: { url: string; clock?: Clock }): ObjectStore {
  const clock = opts.clock ?? systemClock
  const http = new StorageHttpClient(opts.url, clock)
  const requestFor = (name: string, callOpts: CallOptions = {}) => ({
    path: `/objects/${encodeURIComponent(name)}`,
    deadline: callOpts.deadline ?? clock.now() + defaultCallTimeoutMs,
  })
  const createStatusError = (status: number) =>
    new StoreError(`the object store responded with status ${status}`)
  return {
    async put(name, body, callOpts) {
      const { status } = await http.callWithRetry({
        method: 'PUT',
        body,
        ...requestFor(name, callOpts),
      })
      if (status >= 300) throw createStatusError(status)
    },
    async get(name, callOpts) {
      const response = await http.callWithRetry({ method: 'GET', ...requestFor(name, callOpts) })
      if (response.status === 404) return undefined
      if (response.status !== 200) throw createStatusError(response.status)
      return response.text
    },
    close: () => http.close(),
  }
}
