/** Which bound a use would exceed. */
export type ExceededBound = 'process' | 'address'

/** Most units that may be in use at once. */
export interface UsageBounds {
  max: number
  /** Most units of one client address. */
  maxPerAddress: number
}

/**
 * Counts the units of one resource that clients make a process hold, in total and by client address.
 * Addresses that hold nothing take no memory.
 */
export interface UsageCounter {
  readonly total: number
  /** Adds units unless a bound would be exceeded; returns the bound, or undefined when added. */
  tryAdd(address: string, units?: number): ExceededBound | undefined
  /** Adds units whatever the bounds. */
  add(address: string, units?: number): void
  remove(address: string, units?: number): void
  of(address: string): number
}

/**
 * Creates a counter. It addresses clients that make a process hold more than its memory allows.
 *
 * @example
 * const requests = createUsageCounter({ max: 2_048, maxPerAddress: 1_920 })
 * const exceeded = requests.tryAdd('10.0.0.7')
 */
export function createUsageCounter(bounds: UsageBounds): UsageCounter {
  const byAddress = new Map<string, number>()
  let total = 0
  const add = (address: string, units: number) => {
    total += units
    const held = (byAddress.get(address) ?? 0) + units
    if (held > 0) byAddress.set(address, held)
    else byAddress.delete(address)
  }
  return {
    get total() {
      return total
    },
    tryAdd: (address, units = 1) => {
      if ((byAddress.get(address) ?? 0) + units > bounds.maxPerAddress) return 'address'
      if (total + units > bounds.max) return 'process'
      add(address, units)
      return undefined
    },
    add: (address, units = 1) => {
      add(address, units)
    },
    remove: (address, units = 1) => {
      add(address, -units)
    },
    of: address => byAddress.get(address) ?? 0,
  }
}
