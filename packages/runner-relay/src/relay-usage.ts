/** What the connections of a relay make it hold together; calls beyond a bound are not made. */
export interface RelayBounds {
  /** Most calls in progress. */
  maxCalls: number
  /** Most characters of the lines of these calls. */
  maxCallLength: number
  /** Most characters of lines that have not ended. */
  maxPartialLength: number
  /** Most runners to which the relay has connections. */
  maxRunners: number
  /** Most bytes of results that are written and not read. */
  maxUnreadBytes: number
}

/** Bounds that a relay has by default. */
export const defaultRelayBounds: RelayBounds = {
  maxCalls: 6_000,
  maxCallLength: 12_000_000,
  maxPartialLength: 12_000_000,
  maxRunners: 1_024,
  maxUnreadBytes: 8_000_000,
}

/** Why a relay did not make a call, or closed a connection; each is a label of the counter. */
export type RelayLimitCause =
  | 'relay-calls'
  | 'relay-call-bytes'
  | 'relay-runners'
  | 'relay-fences'
  | 'relay-lines'
  | 'relay-results-unread'

/**
 * Counts what all connections of a relay hold. `C` identifies a connection.
 *
 * @example
 * const usage = createRelayUsage(defaultRelayBounds)
 * const exceeded = usage.beginCall(line.length)
 */
export function createRelayUsage<C>(bounds: RelayBounds): RelayUsage<C> {
  const unreadBytes = new Map<C, number>()
  let [calls, callLength, partialLength, runners, totalUnreadBytes] = [0, 0, 0, 0, 0]
  return {
    beginCall: length => {
      if (calls >= bounds.maxCalls) return 'relay-calls'
      if (callLength + length > bounds.maxCallLength) return 'relay-call-bytes'
      calls += 1
      callLength += length
      return undefined
    },
    endCall: length => {
      calls -= 1
      callLength -= length
    },
    addRunner: () => {
      if (runners >= bounds.maxRunners) return false
      runners += 1
      return true
    },
    removeRunners: count => {
      runners -= count
    },
    addPartial: change => {
      partialLength += change
      return change <= 0 || partialLength <= bounds.maxPartialLength
    },
    setUnread: (connection, bytes) => {
      totalUnreadBytes += bytes - (unreadBytes.get(connection) ?? 0)
      if (bytes === 0) unreadBytes.delete(connection)
      else unreadBytes.set(connection, bytes)
      if (totalUnreadBytes <= bounds.maxUnreadBytes) return undefined
      const [[largest] = []] = [...unreadBytes].sort(([, a], [, b]) => b - a)
      return largest
    },
  }
}

/** What the connections of a relay hold now. */
export interface RelayUsage<C> {
  /** Counts a call whose line has `length` characters; returns the bound that does not allow it. */
  beginCall(length: number): RelayLimitCause | undefined
  endCall(length: number): void
  /** Counts a runner unless there are too many; returns whether it did. */
  addRunner(): boolean
  removeRunners(count: number): void
  /** Adds to the length of lines that have not ended; returns whether it may grow so far. */
  addPartial(change: number): boolean
  /**
   * Sets the bytes of results that a connection has not read. Returns the connection with the most if
   * all together have too many; it has to be closed.
   */
  setUnread(connection: C, bytes: number): C | undefined
}
