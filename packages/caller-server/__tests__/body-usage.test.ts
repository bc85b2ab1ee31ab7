import { Socket } from 'node:net'
import t from 'tap'
import { createBodyUsage } from '../src/index.js'

const connectionOf = (address: string) =>
  Object.defineProperty(new Socket(), 'remoteAddress', { value: address })

// Guards against bytes that are never freed, after which all bodies are refused.
void t.test('bytes are counted for a connection, an address and the process', t => {
  const bodies = createBodyUsage({ maxBytes: 30, maxAddressBytes: 20, maxConnectionBytes: 10 })
  const [first, second] = [connectionOf('a'), connectionOf('a')]
  const share = bodies.open(first)
  t.equal(share.tryAdd(6), undefined)
  t.equal(bodies.open(first).tryAdd(5), 'connection')
  t.equal(bodies.open(first).tryAdd(4), undefined)
  t.equal(bodies.open(second).tryAdd(10), undefined)
  t.equal(bodies.open(connectionOf('a')).tryAdd(1), 'address')
  t.equal(bodies.open(connectionOf('b')).tryAdd(10), undefined)
  t.equal(bodies.open(connectionOf('c')).tryAdd(1), 'process')
  share.close()
  share.close()
  t.equal(bodies.open(first).tryAdd(6), undefined)
  t.end()
})
