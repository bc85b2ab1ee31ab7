/** Reads of the store whose results several requests share. */
export interface SharedReads<T> {
  /**
   * Resolves to the result of a read that begins after this call. While a read of the key is in progress,
   * all calls for it wait for one further read, so that at most one runs and one waits.
   *
   * @throws The error of the read.
   */
  read(key: string, read: () => Promise<T>): Promise<T>
}

/**
 * Creates shared reads. It addresses clients that ask for the same long range of rows again and again:
 * each read holds all rows of the range.
 *
 * @example
 * const counts = createSharedReads<number>()
 * const count = await counts.read('queue-1', () => countRows('queue-1'))
 */
export function createSharedReads<T>(): SharedReads<T> {
  const running = new Map<string, Promise<T>>()
  const waiting = new Map<string, Promise<T>>()
  const start = (key: string, read: () => Promise<T>): Promise<T> => {
    const result = read().finally(() => {
      running.delete(key)
    })
    running.set(key, result)
    return result
  }
  return {
    read: (key, read) => {
      const current = running.get(key)
      if (current === undefined) return start(key, read)
      const next =
        waiting.get(key) ??
        current
          .catch(() => undefined)
          .then(() => {
            waiting.delete(key)
            return start(key, read)
          })
      waiting.set(key, next)
      return next
    },
  }
}
