import { setMaxListeners } from 'node:events'
import type { Socket } from 'node:net'

const signals = new WeakMap<Socket, AbortSignal>()

/**
 * Returns the signal that is aborted when a connection has ended, so that what its requests wait for
 * can be given up. All requests of a connection share it.
 *
 * @example
 * const row = await store.read(table, key, { signal: connectionSignal(req.socket) })
 */
export function connectionSignal(socket: Socket): AbortSignal {
  const existing = signals.get(socket)
  if (existing !== undefined) return existing
  const controller = new AbortController()
  // Each request of the connection that waits listens once; their number has a bound of its own.
  setMaxListeners(0, controller.signal)
  if (socket.destroyed) controller.abort()
  else {
    socket.once('close', () => {
      controller.abort()
    })
  }
  signals.set(socket, controller.signal)
  return controller.signal
}
