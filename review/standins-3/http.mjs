import { Agent, request } from 'node:http'

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Reads the body of a request as JSON; undefined if it is empty. */
export async function readBody(req) {
  const chunks = []
  for await (const chunk of req) chunks.push(chunk)
  const text = Buffer.concat(chunks).toString('utf8')
  return text === '' ? undefined : JSON.parse(text)
}

export function sendJson(res, status, body) {
  const text = JSON.stringify(body)
  if (res.destroyed) return
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  })
  res.end(text)
}

/** Sends one request on a connection of its own; `status` is 0 when no response came in time. */
export function call({ address, method, path, headers = {}, body, timeoutMs = 3_000 }) {
  const [host, port] = address.split(':')
  const text = body === undefined ? undefined : JSON.stringify(body)
  return new Promise(resolve => {
    const agent = new Agent({ keepAlive: false })
    const done = (status, answer) => {
      clearTimeout(timer)
      agent.destroy()
      resolve({ status, body: answer })
    }
    const req = request({
      host,
      port,
      method,
      path,
      agent,
      headers: {
        ...headers,
        ...(text === undefined
          ? {}
          : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
      },
    })
    const timer = setTimeout(() => {
      req.destroy()
      done(0)
    }, timeoutMs)
    req.on('error', () => done(0))
    req.on('response', res => {
      const chunks = []
      res.on('data', chunk => chunks.push(chunk))
      res.on('error', () => done(0))
      res.on('end', () => {
        const answer = Buffer.concat(chunks).toString('utf8')
        let parsed
        try {
          parsed = JSON.parse(answer)
        } catch {
          parsed = answer
        }
        done(res.statusCode, parsed)
      })
    })
    req.end(text)
  })
}
