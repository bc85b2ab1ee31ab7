/** Bounds on what clients may make one server hold. */
export interface ClientLimits {
  maxConnections: number
  maxAddressConnections: number
  /** Most requests that are parsed and not answered. */
  maxRequests: number
  maxAddressRequests: number
  /** Requests of one connection without a delivered response from which it is no longer read. */
  maxPipelinedRequests: number
  /** Most responses that are written and not read, in all connections together. */
  maxUnreadResponses: number
  /** Most bytes that are read from connections and not parsed. */
  maxUnparsedBytes: number
  /** Time for which a client may leave a response unread, in milliseconds. */
  maxUnreadMs: number
  /**
   * Whether connections with complete requests may be closed for new ones. Only for ports whose
   * clients are few and lose nothing by it.
   */
  closesBusyConnections: boolean
}

/** Why a connection was closed or a request rejected; each is a label of the counter. */
export type LimitCause =
  | 'idle-closed'
  | 'receiving-closed'
  | 'busy-closed'
  | 'connection-refused'
  | 'requests-of-address'
  | 'requests-of-process'
  | 'responses-unread'
  | 'responses-unread-of-process'
  | 'bytes-unparsed-of-process'

/** What is known of a connection when one has to be closed for a new one. */
export interface ConnectionState {
  address: string
  /** Number of requests without a delivered response. */
  openRequests: number
  /** Whether the only open request has not arrived completely. */
  isReceiving: boolean
  /** Time of the last byte or, without open requests, of the last response; in milliseconds. */
  activeAt: number
}

/**
 * Chooses the connection that is closed for a new one: the one that has been idle for longest, then the
 * one that has been silent for longest among those whose request has not arrived completely, which
 * has therefore not run. It addresses clients that take all connections.
 *
 * @example
 * const choice = chooseConnectionToClose(connections, { address: undefined, closesBusy: false })
 */
export function chooseConnectionToClose<C extends ConnectionState>(
  connections: Iterable<C>,
  opts: { address: string | undefined; closesBusy: boolean },
): { connection: C; cause: LimitCause } | undefined {
  const oldest: (C | undefined)[] = [undefined, undefined, undefined]
  for (const connection of connections) {
    if (opts.address !== undefined && connection.address !== opts.address) continue
    const rank = connection.openRequests === 0 ? 0 : connection.isReceiving ? 1 : 2
    const best = oldest[rank]
    if (best === undefined || connection.activeAt < best.activeAt) oldest[rank] = connection
  }
  const [idle, receiving, busy] = oldest
  if (idle !== undefined) return { connection: idle, cause: 'idle-closed' }
  if (receiving !== undefined) return { connection: receiving, cause: 'receiving-closed' }
  if (busy !== undefined && opts.closesBusy) return { connection: busy, cause: 'busy-closed' }
  return undefined
}
