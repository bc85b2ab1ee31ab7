import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Size of a response body in bytes. */
const responseBytes = 200

/**
 * Starts a runner that responds to every request without doing any work, so that its run time does
 * not hide the cost of a hop. Resolves to its `IP:port`.
 */
export async function servePlainRunner({ host }: { host: string }): Promise<string> {
  const body = Buffer.alloc(responseBytes, 'x')
  const server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
    req.resume()
    if (req.url === '/health') {
      res.end('{"state":"ok"}')
      return
    }
    if (req.url === '/running') {
      res.end('[]')
      return
    }
    res.writeHead(200, {
      'bulrush-request-id': req.headers['bulrush-request-id'] ?? '',
      'content-type': 'text/plain',
      'content-length': body.length,
    })
    res.end(body)
  })
  await new Promise<void>(resolve => server.listen(0, host, resolve))
  return `${host}:${(server.address() as AddressInfo).port}`
}
