/** Pause between two readings of the runner's list of requests in progress, in milliseconds. */
export const pollIntervalMs = 100

/** Options of {@link createSettlementPoller}. */
export interface SettlementPollerOptions {
  /**
   * Fetches the ids of the requests in progress at the runner; rejects when it does not respond.
   */
  fetchRunning: () => Promise<Set<string>>
}

interface WaitingRequest {
  /** Readings in a row that did not list the request. */
  absentPolls: number
  resolve: () => void
  promise: Promise<void>
}

/**
 * Creates a poller that waits until a runner no longer lists given requests as in progress. One
 * poll serves all waiting ids.
 *
 * @example
 * await settlementPoller.settled(id)
 */
export function createSettlementPoller({ fetchRunning }: SettlementPollerOptions) {
  const waiting = new Map<string, WaitingRequest>()
  let timer: NodeJS.Timeout | undefined
  let isPolling = false

  async function poll(): Promise<void> {
    isPolling = true
    const polled = [...waiting]
    const running = await fetchRunning().catch(() => undefined)
    isPolling = false
    for (const [id, entry] of running ? polled : []) {
      entry.absentPolls = running?.has(id) ? 0 : entry.absentPolls + 1
      // At the first reading, bytes of a closed connection can still be in the runner's receive
      // buffer, so the request counts as ended after two readings without it.
      if (entry.absentPolls < 2) continue
      waiting.delete(id)
      entry.resolve()
    }
    schedule()
  }

  function schedule(): void {
    if (isPolling || timer || waiting.size === 0) return
    timer = setTimeout(() => {
      timer = undefined
      void poll()
    }, pollIntervalMs)
  }

  return {
    /** Resolves when two readings in a row did not list the request. */
    settled(id: string): Promise<void> {
      const existing = waiting.get(id)
      if (existing) return existing.promise
      let resolve: () => void = () => undefined
      const promise = new Promise<void>(settle => (resolve = settle))
      waiting.set(id, { absentPolls: 0, resolve, promise })
      schedule()
      return promise
    },
    /** Resolves all waiting promises; called when the runner's host is unlisted. */
    resolveAll(): void {
      for (const entry of waiting.values()) entry.resolve()
      waiting.clear()
    },
    /** Requests that are waited for. */
    get size(): number {
      return waiting.size
    },
  }
}
