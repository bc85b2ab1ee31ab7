import type { Socket } from 'node:net'
import { createUsageCounter, type ExceededBound } from './usage-counter.js'

/** Bounds on the bytes of bodies that a process holds for the requests in progress. */
export interface BodyBounds {
  maxBytes: number
  /** Most bytes of one client address. */
  maxAddressBytes: number
  /** Most bytes of one connection. */
  maxConnectionBytes: number
}

/** The bound that further bytes would exceed. */
export type BodyBound = ExceededBound | 'connection'

/** Options of {@link createBodyUsage}. */
export interface BodyUsageOptions extends BodyBounds {
  /** Called for each request whose body does not fit. */
  onExceeded?: (bound: BodyBound, address: string) => void
}

/** The bytes that one request holds. */
export interface BodyShare {
  /** Adds bytes unless a bound would be exceeded; returns the bound, or undefined when added. */
  tryAdd(bytes: number): BodyBound | undefined
  /** Frees all bytes of the request. */
  close(): void
}

/** Counts the bytes of bodies. */
export interface BodyUsage {
  /** Begins the count for a request that arrived on `socket`; close it when the request has ended. */
  open(socket: Socket): BodyShare
}

/**
 * Creates the count. It addresses clients whose requests wait, each with a body in memory.
 *
 * @example
 * const bodies = createBodyUsage({ maxBytes: 32e6, maxAddressBytes: 30e6, maxConnectionBytes: 1e6 })
 * const share = bodies.open(req.socket)
 */
export function createBodyUsage(opts: BodyUsageOptions): BodyUsage {
  const usage = createUsageCounter({ max: opts.maxBytes, maxPerAddress: opts.maxAddressBytes })
  const bytesByConnection = new WeakMap<Socket, number>()
  return {
    open: socket => {
      const address = socket.remoteAddress ?? ''
      let held = 0
      const addToConnection = (bytes: number) => {
        bytesByConnection.set(socket, (bytesByConnection.get(socket) ?? 0) + bytes)
      }
      const tryCount = (bytes: number): BodyBound | undefined => {
        const connectionBytes = (bytesByConnection.get(socket) ?? 0) + bytes
        if (connectionBytes > opts.maxConnectionBytes) return 'connection'
        return usage.tryAdd(address, bytes)
      }
      return {
        tryAdd: bytes => {
          const exceeded = tryCount(bytes)
          if (exceeded !== undefined) {
            opts.onExceeded?.(exceeded, address)
            return exceeded
          }
          addToConnection(bytes)
          held += bytes
          return undefined
        },
        close: () => {
          usage.remove(address, held)
          addToConnection(-held)
          held = 0
        },
      }
    },
  }
}
