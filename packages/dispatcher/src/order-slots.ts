/** Bounds the orders that are in flight to one runner; the others wait for their turn. */
export interface OrderSlots {
  /**
   * Undefined if the caller may send an order at once, else a promise of when it may. It calls
   * {@link OrderSlots.release} afterwards.
   */
  acquire(): Promise<void> | undefined
  release(): void
  /** Lets all waiting callers go on, so that they can end. */
  close(): void
}

/**
 * Creates the slots of a runner. An order has a deadline from when it is sent, so orders beyond what a
 * runner answers in that time must not be sent yet.
 *
 * @example
 * const turn = slots.acquire()
 * if (turn !== undefined) await turn
 * try { await api.start(order) } finally { slots.release() }
 */
export function createOrderSlots(maxInFlight: number): OrderSlots {
  let inFlight = 0
  let isClosed = false
  let waiting: (() => void)[] = []
  /** Index of the first caller in `waiting` that still waits. */
  let next = 0
  return {
    acquire: () => {
      if (isClosed || inFlight < maxInFlight) {
        inFlight += 1
        return undefined
      }
      return new Promise(resolve => waiting.push(resolve))
    },
    release: () => {
      const resolve = waiting[next]
      if (resolve === undefined) {
        inFlight -= 1
        return
      }
      // The slot passes to the next caller.
      next += 1
      if (next === waiting.length) {
        waiting = []
        next = 0
      }
      resolve()
    },
    close: () => {
      isClosed = true
      for (const resolve of waiting.slice(next)) resolve()
      waiting = []
      next = 0
    },
  }
}
