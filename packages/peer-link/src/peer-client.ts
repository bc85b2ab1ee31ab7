import { createClient, type Client, type Interceptor } from '@connectrpc/connect'
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import { PeerService } from '@bulrushbridge/wire'
import { peerAuthorization } from './peer-secret.js'

/** Interval of HTTP/2 pings on a link with a call in progress, in milliseconds. */
const pingIntervalMs = 1_000

/** Time for the answer to a ping; a link that misses it is replaced by a new one. */
const pingTimeoutMs = 1_000

/** Idle links are kept, because the exchange uses them every 500 ms. */
const idleConnectionTimeoutMs = 60_000

/** The link to one peer: one HTTP/2 connection that is replaced when it goes silent. */
export interface PeerLink {
  readonly address: string
  readonly calls: Client<typeof PeerService>
  close(): void
}

/** Options of {@link createPeerLink}. */
export interface PeerLinkOptions {
  /** `IP:port` of the peer's peer service. */
  address: string
  /** Secret shared by all entry hosts of an environment. */
  secret: string
}

/**
 * Opens the link to a peer; the connection is made by the first call.
 *
 * @example
 * const link = createPeerLink({ address: '127.0.1.2:7200', secret })
 * const res = await link.calls.exchange({ report }, { timeoutMs: 2_000 })
 */
export function createPeerLink(opts: PeerLinkOptions): PeerLink {
  const baseUrl = `http://${opts.address}`
  const sessionManager = new Http2SessionManager(baseUrl, {
    pingIntervalMs,
    pingTimeoutMs,
    pingIdleConnection: true,
    idleConnectionTimeoutMs,
  })
  const authorization = peerAuthorization(opts.secret)
  const authenticate: Interceptor = next => req => {
    req.header.set('authorization', authorization)
    return next(req)
  }
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: '2',
    useBinaryFormat: true,
    sessionManager,
    interceptors: [authenticate],
    // Reports are a few hundred bytes; compressing them costs more than it saves.

    acceptCompression: [],
  })
  return {
    address: opts.address,
    calls: createClient(PeerService, transport),
    close: () => {
      sessionManager.abort()
    },
  }
}
