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
  | 'unread-closed'
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
  /** Whether all open requests have been answered, and only their responses are not read. */
  isAnswered: boolean
  /** Time of the last byte or, without open requests, of the last response; in milliseconds. */
  activeAt: number
}

/**
 * Chooses the connection that is closed for a new one: the one that has been idle for longest, then the
 * one that has been silent for longest among those whose request has not arrived completely, which
 * has therefore not run. With `closesBusy`, connections whose responses are not read come next, and then
 * those with requests in progress. It addresses clients that take all connections.
 *
 * @example
 * const choice = chooseConnectionToClose(connections, { address: undefined, closesBusy: false })
 */
export function chooseConnectionToClose<C extends ConnectionState>(
  connections: Iterable<C>,
  opts: { address: string | undefined; closesBusy: boolean },
): { connection: C; cause: LimitCause } | undefined {
  const oldest: (C | undefined)[] = [undefined, undefined, undefined, undefined]
  for (const connection of connections) {
    if (opts.address !== undefined && connection.address !== opts.address) continue
    const rank = rankOf(connection)
    const best = oldest[rank]
    if (best === undefined || connection.activeAt < best.activeAt) oldest[rank] = connection
  }
  const [idle, receiving, unread, busy] = oldest
  if (idle !== undefined) return { connection: idle, cause: 'idle-closed' }
  if (receiving !== undefined) return { connection: receiving, cause: 'receiving-closed' }
  if (!opts.closesBusy) return undefined
  if (unread !== undefined) return { connection: unread, cause: 'unread-closed' }
  if (busy !== undefined) return { connection: busy, cause: 'busy-closed' }
  return undefined
}

/** Connections of a lower rank are closed first. */
function rankOf({ openRequests, isReceiving, isAnswered }: ConnectionState): number {
  if (openRequests === 0) return 0
  if (isReceiving) return 1
  return isAnswered ? 2 : 3
}
