import {
  createSecureServer,
  createServer,
  type Http2SecureServer,
  type Http2Server,
  type Http2ServerRequest,
  type Http2ServerResponse,
  type ServerHttp2Session,
} from 'node:http2'
import type { Socket } from 'node:net'
import type { ServiceImpl } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { PeerService } from '@bulrushbridge/wire'
import { createPeerConnections, type PeerLimitCause } from './peer-connections.js'
import { isPeerAuthorized } from './peer-secret.js'
import type { PeerTls } from './peer-tls.js'

/** Most connections by default; each peer has one, and a second while certificates change. */
const defaultMaxConnections = 64

/** Most calls in progress on one connection; a peer makes a few at once. */
const maxConcurrentStreams = 64

/** Largest message of a peer, in bytes; a document may have 8 MB. */
const maxMessageBytes = 16_000_000

/** Maximum size of the headers of a call. */
const maxHeadersBytes = 16_384

/** Time limit for a TLS handshake, in milliseconds. */
const handshakeTimeoutMs = 10_000

/** Time for a client without the secret to read that, in milliseconds. */
const refusalTimeoutMs = 1_000

/** Handlers of the calls that peers make. */
export type PeerHandlers = ServiceImpl<typeof PeerService>

/** Options of {@link createPeerServer}. */
export interface PeerServerOptions {
  host: string
  port: number
  secret: string
  /** Certificates for mutual TLS; without them connections are not encrypted. */
  tls?: PeerTls | undefined
  handlers: PeerHandlers
  /** Most connections; 64 by default. */
  maxConnections?: number
  /** Called for each connection that is closed and each call that is refused. */
  onLimit?: (cause: PeerLimitCause, address: string) => void
}

/** The peer service of one entry host. */
export interface PeerServer {
  /** `IP:port` that the server listens on. */
  readonly address: string
  /** Bytes received and sent on all connections since the start, closed ones included. */
  bytes(): number
  close(): Promise<void>
}

/**
 * Starts the server for the peers of this entry host. With `tls`, the handshake fails for a client
 * without a certificate of the same authority. A call without the shared secret is answered with
 * `unauthenticated` before any handler runs.
 *
 * @example
 * const server = await createPeerServer({ host: '127.0.1.1', port: 7200, secret, handlers })
 */
export async function createPeerServer(opts: PeerServerOptions): Promise<PeerServer> {
  const { tls, secret, maxConnections = defaultMaxConnections } = opts
  const connections = createPeerConnections({
    maxConnections,
    onLimit: (cause, address) => opts.onLimit?.(cause, address),
  })
  const adapter = connectNodeAdapter({
    routes: router => router.service(PeerService, opts.handlers),
    readMaxBytes: maxMessageBytes,
  })
  // The adapter reads the whole message before its interceptors run, so the secret is checked here.
  const handle = (req: Http2ServerRequest, res: Http2ServerResponse) => {
    const remote = req.stream.session?.socket
    if (isPeerAuthorized(req.headers.authorization ?? null, secret)) {
      if (remote !== undefined) connections.authenticate(remote)
      adapter(req, res)
      return
    }
    opts.onLimit?.('unauthenticated', remote?.remoteAddress ?? '')
    refuse(res)
  }
  const options = { settings: { maxConcurrentStreams, maxHeaderListSize: maxHeadersBytes } }
  const secureServer =
    tls &&
    createSecureServer(
      {
        ...options,
        ...tls.current(),
        requestCert: true,
        rejectUnauthorized: true,
        handshakeTimeout: handshakeTimeoutMs,
      },
      handle,
    )
  const server = secureServer ?? createServer(options, handle)
  const sessions = new Set<ServerHttp2Session>()
  server.on('session', session => {
    sessions.add(session)
    session.once('close', () => sessions.delete(session))
    // Without a listener, a connection that the peer resets would end the process.
    session.on('error', () => undefined)
  })
  const stopListening = tls?.onChange(options => {
    secureServer?.setSecureContext(options)
    // Connections made with the former certificates close after their calls; peers reconnect.
    for (const session of sessions) session.close()
  })
  server.on('connection', (socket: Socket) => {
    connections.add(socket)
  })
  const port = await listen(server, opts)
  return {
    address: `${opts.host}:${port}`,
    bytes: () => connections.bytes(),
    close: () => {
      stopListening?.()
      for (const session of sessions) session.destroy()
      return new Promise(resolve => {
        server.close(() => {
          resolve()
        })
      })
    },
  }
}

/** Answers a call without the secret, and ends its session. */
function refuse(res: Http2ServerResponse): void {
  const { session } = res.stream
  const body = { code: 'unauthenticated', message: 'the peer secret is missing or wrong' }
  res.writeHead(401, { 'content-type': 'application/json' }).end(JSON.stringify(body))
  session?.close()
  // The client may leave its message unfinished, or the answer unread.
  setTimeout(() => session?.destroy(), refusalTimeoutMs).unref()
}

async function listen(
  server: Http2Server | Http2SecureServer,
  opts: PeerServerOptions,
): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(opts.port, opts.host, resolve)
  })
  const address = server.address()
  return typeof address === 'object' && address !== null ? address.port : opts.port
}
