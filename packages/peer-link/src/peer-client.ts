import {
  Code,
  ConnectError,
  createClient,
  type Client,
  type Interceptor,
} from '@connectrpc/connect'
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import { PeerService } from '@bulrushbridge/wire'
import { peerAuthorization } from './peer-secret.js'
import type { PeerTls } from './peer-tls.js'

/** Keeps idle connections open between exchanges, which are 500 ms to 2 s apart. */
const idleConnectionTimeoutMs = 60_000

/** Errors after which the connection may never answer again. */
const suspectCodes: ReadonlySet<Code> = new Set([Code.DeadlineExceeded, Code.Unavailable])

/** The link to one peer, which is one HTTP/2 connection. */
export interface PeerLink {
  readonly address: string
  readonly calls: Client<typeof PeerService>
  /**
   * True after a call got no answer. The link must then be replaced: if a network device between
   * the hosts has lost the state of the connection, it never answers again.
   */
  isSuspect(): boolean
  /** True after the certificates changed; calls in progress may still finish on the link. */
  isOutdated(): boolean
  close(): void
}

/** Options of {@link createPeerLink}. */
export interface PeerLinkOptions {
  /** `IP:port` of the peer's peer service. */
  address: string
  /** Secret shared by all entry hosts of an environment. */
  secret: string
  /** Certificates for mutual TLS; without them the connection is not encrypted. */
  tls?: PeerTls | undefined
}

/**
 * Creates the link to a peer; the first call opens the connection.
 *
 * @example
 * const link = createPeerLink({ address: '127.0.1.2:7200', secret })
 * const res = await link.calls.exchange({ report }, { timeoutMs: 2_000 })
 */
export function createPeerLink(opts: PeerLinkOptions): PeerLink {
  const tls = opts.tls?.current()
  const baseUrl = `${tls === undefined ? 'http' : 'https'}://${opts.address}`
  const sessionManager = new Http2SessionManager(baseUrl, { idleConnectionTimeoutMs }, tls)
  const authorization = peerAuthorization(opts.secret)
  let hasUnansweredCall = false
  const stopListening = opts.tls?.onChange(() => {
    hasOldCertificates = true
  })
  let hasOldCertificates = false
  const authenticate: Interceptor = next => async req => {
    req.header.set('authorization', authorization)
    try {
      return await next(req)
    } catch (err) {
      hasUnansweredCall ||= suspectCodes.has(ConnectError.from(err).code)
      throw err
    }
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
    isSuspect: () => hasUnansweredCall,
    isOutdated: () => hasOldCertificates,
    close: () => {
      stopListening?.()
      sessionManager.abort()
    },
  }
}
