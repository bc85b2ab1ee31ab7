/** Pause between two readings of the runner's list, in milliseconds. */
export const pollMs = 100

/** Options of {@link createSettlement}. */
export interface SettlementOptions {
  /** Reads the ids in progress at the runner; rejects when it cannot be asked. */
  readRunning: () => Promise<Set<string>>
}

interface Entry {
  absent: number
  resolve: () => void
  promise: Promise<void>
}

/**
 * Waits until a runner no longer lists requests. One poll serves all waiting ids.
 *
 * @example
 * await settlement.settled(id)
 */
export function createSettlement({ readRunning }: SettlementOptions) {
  const waiting = new Map<string, Entry>()
  let timer: NodeJS.Timeout | undefined
  let polling = false

  async function poll(): Promise<void> {
    polling = true
    const asked = [...waiting]
    const running = await readRunning().catch(() => undefined)
    polling = false
    for (const [id, entry] of running ? asked : []) {
      entry.absent = running?.has(id) ? 0 : entry.absent + 1
      // Bytes of a closed connection can still wait in the runner's receive buffer at the first
      // reading, so one absence is not enough.
      if (entry.absent < 2) continue
      waiting.delete(id)
      entry.resolve()
    }
    schedule()
  }

  function schedule(): void {
    if (polling || timer || waiting.size === 0) return
    timer = setTimeout(() => {
      timer = undefined
      void poll()
    }, pollMs)
  }

  return {
    settled(id: string): Promise<void> {
      const known = waiting.get(id)
      if (known) return known.promise
      let resolve: () => void = () => undefined
      const promise = new Promise<void>(done => (resolve = done))
      waiting.set(id, { absent: 0, resolve, promise })
      schedule()
      return promise
    },
    /** Resolves everything; for a runner that is confirmed gone. */
    resolveAll(): void {
      for (const entry of waiting.values()) entry.resolve()
      waiting.clear()
    },
    get size(): number {
      return waiting.size
    },
  }
}
