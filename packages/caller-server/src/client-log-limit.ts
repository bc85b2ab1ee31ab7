/** Most addresses that are told apart; the lines about others in the same second are left out. */
const maxAddresses = 1_000

/** Decides which log lines about clients are written. */
export interface ClientLogLimit {
  /** Whether a line about a client may be written; `now` in milliseconds. */
  allows(address: string, now: number): boolean
}

/**
 * Creates a limit of log lines for each client address. It addresses one client whose failed requests
 * would take the lines of all others; `maxLines` is for a second.
 *
 * @example
 * const limit = createClientLogLimit(100)
 * if (limit.allows('10.0.0.7', performance.now())) log.info('request failed', fields)
 */
export function createClientLogLimit(maxLines: number): ClientLogLimit {
  const lines = new Map<string, number>()
  let second = 0
  return {
    allows: (address, now) => {
      const currentSecond = Math.floor(now / 1_000)
      if (currentSecond !== second) lines.clear()
      second = currentSecond
      const count = (lines.get(address) ?? 0) + 1
      if (count > maxLines || (lines.size >= maxAddresses && count === 1)) return false
      lines.set(address, count)
      return true
    },
  }
}
