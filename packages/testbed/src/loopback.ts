/**
 * Addresses of a test run in 127.0.0.0/8. Each process takes a subnet of its own, so that tests
 * which run at the same time cannot meet on a port.
 */
export interface Loopback {
  /** The address of the next host. */
  next(): string
}

/**
 * Creates the addresses of this process.
 *
 * @example
 * const loopback = createLoopback()
 * loopback.next() // '127.12.34.1'
 */
export function createLoopback(pid = process.pid): Loopback {
  const high = 1 + (Math.floor(pid / 256) % 250)
  const low = pid % 256
  let last = 0
  return {
    next: () => {
      last += 1
      return `127.${high}.${low}.${last}`
    },
  }
}
