import { Code, ConnectError } from '@connectrpc/connect'
import t, { type Test } from 'tap'
import {
  createPeerLinks,
  createPeerServer,
  createPeerTls,
  type PeerHandlers,
  type PeerTls,
} from '../src/index.js'
import { createAuthority } from './certificates.js'

const host = '127.0.0.1'
const secret = 'secret-of-the-peers'

/** Starts a peer server and counts the calls that reach its handler. */
async function startPeerServer(t: Test, tls?: PeerTls) {
  const stats = { calls: 0 }
  const exchange = () => {
    stats.calls++
    return Promise.resolve({})
  }
  const handlers = { exchange } as unknown as PeerHandlers
  const server = await createPeerServer({ host, port: 0, secret, tls, handlers })
  t.teardown(() => server.close())
  return { server, stats }
}

/** Creates a PeerTls with certificates in memory instead of files; `set` replaces them. */
function createMemoryTls(initial: { cert: string; key: string; ca: string }) {
  let files: Record<string, string> = initial
  const errors: Error[] = []
  const tls = createPeerTls({
    files: { cert: 'cert', key: 'key', ca: 'ca' },
    read: file => files[file] ?? '',
    onError: err => errors.push(err),
  })
  return {
    tls,
    errors,
    set: (next: { cert: string; key: string; ca: string }) => {
      files = next
      tls.reload()
    },
  }
}

/** Returns a function that calls the server at an address through a new link. */
function createCall(t: Test, tls?: PeerTls, linkSecret = secret) {
  const links = createPeerLinks({ secret: linkSecret, tls })
  t.teardown(() => {
    links.close()
  })
  return (address: string) =>
    links.to({ id: 'e1', peerAddress: address }).calls.exchange({}, { timeoutMs: 3_000 })
}

async function codeOf(call: Promise<unknown>): Promise<Code | 'answered'> {
  return call.then(
    () => 'answered' as const,
    (err: unknown) => ConnectError.from(err).code,
  )
}

void t.test('a caller with a wrong secret reaches no handler', async t => {
  const { server, stats } = await startPeerServer(t)
  t.equal(
    await codeOf(createCall(t, undefined, 'another-secret')(server.address)),
    Code.Unauthenticated,
  )
  t.equal(await codeOf(createCall(t)(server.address)), 'answered')
  t.equal(stats.calls, 1)
})

void t.test('with TLS, only certificates of the same authority reach a handler', async t => {
  const [ours, theirs] = [createAuthority(), createAuthority()]
  const { server, stats } = await startPeerServer(
    t,
    createMemoryTls({ ...ours.issue(host), ca: ours.ca }).tls,
  )
  const member = createMemoryTls({ ...ours.issue(host), ca: ours.ca }).tls
  // This client trusts the server, so the connection depends on the server's check of the client.
  const foreignCertificate = createMemoryTls({ ...theirs.issue(host), ca: ours.ca }).tls
  const foreignAuthority = createMemoryTls({ ...ours.issue(host), ca: theirs.ca }).tls
  for (const [refused, tls] of Object.entries({
    foreignCertificate,
    foreignAuthority,
    'clear text': undefined,
  })) {
    t.not(await codeOf(createCall(t, tls)(server.address)), 'answered', refused)
  }
  t.equal(
    await codeOf(createCall(t, member, 'another-secret')(server.address)),
    Code.Unauthenticated,
    'the secret is still required',
  )
  t.equal(stats.calls, 0)
  t.equal(await codeOf(createCall(t, member)(server.address)), 'answered')
})

void t.test('a server that shows the certificate of another address is not used', async t => {
  const ours = createAuthority()
  const { server, stats } = await startPeerServer(
    t,
    createMemoryTls({ ...ours.issue('127.0.0.77'), ca: ours.ca }).tls,
  )
  const member = createMemoryTls({ ...ours.issue(host), ca: ours.ca }).tls
  t.not(await codeOf(createCall(t, member)(server.address)), 'answered')
  t.equal(stats.calls, 0)
})

void t.test('changed certificates are used without a restart, unusable ones are not', async t => {
  const [old, next] = [createAuthority(), createAuthority()]
  const own = createMemoryTls({ ...old.issue(host), ca: old.ca })
  const { server } = await startPeerServer(t, own.tls)
  const peer = createMemoryTls({ ...old.issue(host), ca: old.ca })
  const call = createCall(t, peer.tls)
  t.equal(await codeOf(call(server.address)), 'answered')

  // A key that does not belong to the certificate, as between two writes of an update.
  own.set({ ...old.issue(host), key: next.issue(host).key, ca: old.ca })
  t.equal(own.errors.length, 1)
  t.notMatch(own.errors[0]?.message, 'PRIVATE KEY')
  t.equal(await codeOf(call(server.address)), 'answered')

  own.set({ ...next.issue(host), ca: next.ca })
  peer.set({ ...next.issue(host), ca: next.ca })
  t.equal(await codeOf(call(server.address)), 'answered')
  const oldTls = createMemoryTls({ ...old.issue(host), ca: old.ca }).tls
  t.not(
    await codeOf(createCall(t, oldTls)(server.address)),
    'answered',
    'the former authority is refused',
  )
})
