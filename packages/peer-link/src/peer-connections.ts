import type { Socket } from 'node:net'

/** Why a connection to the peer server was closed or refused; each is a label of the counter. */
export type PeerLimitCause = 'unauthenticated-closed' | 'connection-refused' | 'unauthenticated'

/** Options of {@link createPeerConnections}. */
export interface PeerConnectionsOptions {
  maxConnections: number
  onLimit: (cause: PeerLimitCause, address: string) => void
}

/** The connections to the peer server of an entry host. */
export interface PeerConnections {
  /** Adds a connection; at the bound it closes an older one without a valid call, or this one. */
  add(socket: Socket): void
  /** Notes that a call with the secret has arrived on the connection with these remote ends. */
  authenticate(remote: RemoteEnd): void
  /** Bytes received and sent on all connections since the start, closed ones included. */
  bytes(): number
}

/** Identifies a connection also where TLS hides its socket. */
export type RemoteEnd = Pick<Socket, 'remoteAddress' | 'remotePort'>

/**
 * Creates the connections. It addresses clients that take all descriptors: a peer is told from them by
 * its first call, so until then a connection may be closed for a newer one, the oldest first.
 *
 * @example
 * const connections = createPeerConnections({ maxConnections: 64, onLimit })
 * server.on('connection', socket => connections.add(socket))
 */
export function createPeerConnections(opts: PeerConnectionsOptions): PeerConnections {
  const unauthenticated = new Map<string, Socket>()
  const authenticated = new Map<string, Socket>()
  let closedSocketBytes = 0
  const keyOf = ({ remoteAddress, remotePort }: RemoteEnd) => `${remoteAddress}:${remotePort}`
  const close = (socket: Socket, cause: PeerLimitCause) => {
    opts.onLimit(cause, socket.remoteAddress ?? '')
    socket.destroy()
  }
  return {
    add: socket => {
      const key = keyOf(socket)
      if (unauthenticated.size + authenticated.size >= opts.maxConnections) {
        const [oldest] = unauthenticated
        if (oldest === undefined) {
          close(socket, 'connection-refused')
          return
        }
        // The end of its socket is reported later.
        unauthenticated.delete(oldest[0])
        close(oldest[1], 'unauthenticated-closed')
      }
      unauthenticated.set(key, socket)
      socket.once('close', () => {
        closedSocketBytes += bytesOf(socket)
        for (const group of [unauthenticated, authenticated])
          if (group.get(key) === socket) group.delete(key)
      })
    },
    authenticate: remote => {
      const key = keyOf(remote)
      const socket = unauthenticated.get(key)
      if (socket === undefined) return
      unauthenticated.delete(key)
      authenticated.set(key, socket)
    },
    bytes: () =>
      [...unauthenticated.values(), ...authenticated.values()].reduce(
        (sum, socket) => sum + bytesOf(socket),
        closedSocketBytes,
      ),
  }
}

function bytesOf(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten
}
