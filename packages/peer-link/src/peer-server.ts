import {
  createSecureServer,
  createServer,
  type Http2SecureServer,
  type Http2Server,
  type ServerHttp2Session,
} from 'node:http2'
import type { Socket } from 'node:net'
import { Code, ConnectError, type Interceptor, type ServiceImpl } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { PeerService } from '@bulrushbridge/wire'
import { isPeerAuthorized } from './peer-secret.js'
import type { PeerTls } from './peer-tls.js'

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
  const authenticate: Interceptor = next => req => {
    if (!isPeerAuthorized(req.header.get('authorization'), opts.secret)) {
      throw new ConnectError('the peer secret is missing or wrong', Code.Unauthenticated)
    }
    return next(req)
  }
  const adapter = connectNodeAdapter({
    interceptors: [authenticate],
    routes: router => router.service(PeerService, opts.handlers),
  })
  const { tls } = opts
  const secureServer =
    tls &&
    createSecureServer({ ...tls.current(), requestCert: true, rejectUnauthorized: true }, adapter)
  const server = secureServer ?? createServer({}, adapter)
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
  const sockets = new Set<Socket>()
  let closedSocketBytes = 0
  server.on('connection', (socket: Socket) => {
    sockets.add(socket)
    socket.once('close', () => {
      sockets.delete(socket)
      closedSocketBytes += bytesOf(socket)
    })
  })
  const port = await listen(server, opts)
  return {
    address: `${opts.host}:${port}`,
    bytes: () => [...sockets].reduce((sum, socket) => sum + bytesOf(socket), closedSocketBytes),
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

function bytesOf(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten
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
