import { StoreError } from '@bulrushbridge/store'

/** Bounds of a {@link StoreReadGate}. */
export interface StoreReadGateOptions {
  /** Most reads that run at once. */
  maxRunning: number
  /** Most reads that wait for others to end. */
  maxWaiting: number
}

/** Limits the reads of the store that requests wait for. */
export interface StoreReadGate {
  /**
   * Runs a read when its turn has come. One whose signal is aborted while it waits does not run.
   *
   * @throws StoreError when too many reads wait, or when the signal is aborted.
   */
  run<T>(signal: AbortSignal | undefined, read: () => Promise<T>): Promise<T>
  /** Number of reads that wait for their turn. */
  waiting(): number
}

/**
 * Creates a gate. It addresses clients that ask for the state of jobs faster than the store answers: a
 * waiting read is cheaper than one that is queued in the store's client with its timers and signals.
 *
 * @example
 * const gate = createStoreReadGate({ maxRunning: 64, maxWaiting: 2_048 })
 * const row = await gate.run(signal, () => store.read(table, key, { deadline, signal }))
 */
export function createStoreReadGate(opts: StoreReadGateOptions): StoreReadGate {
  const queue = new Set<() => void>()
  let running = 0
  const startNext = () => {
    const [start] = queue
    if (start === undefined || running >= opts.maxRunning) return
    queue.delete(start)
    start()
  }
  const waitForTurn = (signal: AbortSignal | undefined) =>
    new Promise<void>((resolve, reject) => {
      const giveUp = () => {
        queue.delete(start)
        reject(new StoreError('the caller left before the read'))
      }
      const start = () => {
        signal?.removeEventListener('abort', giveUp)
        // Counted here, so that no other read takes the turn before this one goes on.
        running += 1
        resolve()
      }
      signal?.addEventListener('abort', giveUp)
      queue.add(start)
    })
  return {
    run: async (signal, read) => {
      if (signal?.aborted === true) throw new StoreError('the caller left before the read')
      if (running < opts.maxRunning && queue.size === 0) running += 1
      else if (queue.size < opts.maxWaiting) await waitForTurn(signal)
      else throw new StoreError('too many reads wait for the store')
      try {
        return await read()
      } finally {
        running -= 1
        startNext()
      }
    },
    waiting: () => queue.size,
  }
}
