/**
 * Source of loopback addresses in 127.0.0.0/8. Each process uses its own subnet, so that tests that
 * run at the same time cannot use the same port of an address.
 */
export interface Loopback {
  /** Returns an address that was not returned before. */
  nextAddress(): string
}

/**
 * Creates the address source of a process; `pid` determines its subnet.
 *
 * @example
 * const loopback = createLoopback()
 * loopback.nextAddress() // '127.12.34.1'
 */
export function createLoopback(pid = process.pid): Loopback {
  const secondOctet = 1 + (Math.floor(pid / 256) % 250)
  const thirdOctet = pid % 256
  let lastOctet = 0
  return {
    nextAddress: () => {
      lastOctet += 1
      return `127.${secondOctet}.${thirdOctet}.${lastOctet}`
    },
  }
}
