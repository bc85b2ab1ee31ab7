import { createFaultServer, type ListenOptions, type Standin } from './fault-server.js'

/**
 * Stand-in for the platform's object store.
 *
 * @example
 * const standin = await createObjectStandin()
 */
export function createObjectStandin(opts: ListenOptions = {}): Promise<Standin> {
  const objects = new Map<string, string>()
  return createFaultServer(opts, req => {
    const [root, ...nameSegments] = req.path
    const name = nameSegments.join('/')
    if (root !== 'objects' || name === '') return { status: 404, body: {} }
    if (req.method === 'PUT') {
      objects.set(name, req.body)
      return { status: 200, body: {}, rowsWritten: 1 }
    }
    const body = req.method === 'GET' ? objects.get(name) : undefined
    return body === undefined ? { status: 404, body: {} } : { status: 200, body }
  })
}
