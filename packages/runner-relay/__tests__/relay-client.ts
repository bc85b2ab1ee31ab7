import { once } from 'node:events'
import { request } from 'node:http'
import type { Test } from 'tap'
import type { RelayServer } from '../src/index.js'
import { relayPath } from '../src/relay-messages.js'
import { startOrder } from './fixture.js'

/** Opens a connection as a dispatcher does, whose lines the test writes. */
export async function connect(t: Test, { address }: Pick<RelayServer, 'address'>) {
  const [host, port] = address.split(':')
  const req = request({ host, port, path: relayPath, method: 'POST', agent: false })
  req.flushHeaders()
  req.on('error', () => undefined)
  t.teardown(() => req.destroy())
  const [res] = (await once(req, 'response')) as [NodeJS.ReadableStream]
  let text = ''
  let isClosed = false
  res.on('data', (chunk: Buffer) => (text += chunk.toString()))
  res.on('error', () => undefined)
  res.on('close', () => (isClosed = true))
  return {
    write: (line: string) => req.write(`${line}\n`),
    isClosed: () => isClosed,
    result: (id: number) =>
      text
        .split('\n')
        .filter(line => line.startsWith(`{"id":${id},`))
        .map(line => JSON.parse(line) as unknown)[0],
  }
}

/** Line that asks for the start of a task. */
export const startCall = (
  id: number,
  task: string,
  fence: number,
  runnerId = 'r1',
  address = '127.0.0.1:1',
) =>
  JSON.stringify({
    id,
    kind: 'start',
    address,
    runnerId,
    order: startOrder(task, fence),
  })
