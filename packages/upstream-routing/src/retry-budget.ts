import type { Clock } from '@bulrushbridge/errors'

/** Requests and retries are counted in buckets of a second over the last 10 s. */
const bucketCount = 10
const bucketMs = 1_000

/** Options of {@link createRetryBudget}. */
export interface RetryBudgetOptions {
  clock: Clock
  /** Largest number of retries per request. */
  ratio?: number
}

/**
 * Limits retries to a fraction of the requests of the last 10 s, so that they cannot cause
 * overload.
 */
export interface RetryBudget {
  countRequest(): void
  /** Takes one retry from the budget; false when none is left. */
  tryTakeRetry(): boolean
}

/**
 * Creates a retry budget.
 *
 * @example
 * const retryBudget = createRetryBudget({ clock: systemClock })
 */
export function createRetryBudget({ clock, ratio = 0.1 }: RetryBudgetOptions): RetryBudget {
  const requests = new Array<number>(bucketCount).fill(0)
  const retries = new Array<number>(bucketCount).fill(0)
  let newestSecond = Math.floor(clock.now() / bucketMs)

  /** Clears the buckets that are older than 10 s and returns the index of the current one. */
  function currentBucket(): number {
    const now = Math.floor(clock.now() / bucketMs)
    for (let i = Math.max(newestSecond + 1, now - bucketCount + 1); i <= now; i++) {
      requests[i % bucketCount] = retries[i % bucketCount] = 0
    }
    newestSecond = Math.max(newestSecond, now)
    return newestSecond % bucketCount
  }
  const sum = (counts: number[]): number => counts.reduce((total, count) => total + count, 0)

  return {
    countRequest() {
      const bucket = currentBucket()
      requests[bucket] = (requests[bucket] ?? 0) + 1
    },
    tryTakeRetry() {
      const bucket = currentBucket()
      if (sum(retries) + 1 > sum(requests) * ratio) return false
      retries[bucket] = (retries[bucket] ?? 0) + 1
      return true
    },
  }
}
