import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Bytes of an answer's body. */
const answerBytes = 200

/** Serves a runner that answers at once, so that a hop's cost is not hidden by its work. */
export async function servePlainRunner({ host }: { host: string }): Promise<string> {
  const body = Buffer.alloc(answerBytes, 'x')
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
