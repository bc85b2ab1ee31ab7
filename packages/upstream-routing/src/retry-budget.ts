import type { Clock } from '@bulrushbridge/errors'

/** Period over which requests and retries are counted, in buckets of a second. */
const bucketCount = 10
const bucketMs = 1_000

/** Options of {@link createRetryBudget}. */
export interface RetryBudgetOptions {
  clock: Clock
  /** Retries allowed per request. */
  ratio?: number
}

/** Bounds retries to a part of the requests of the last 10 s, so that they cannot add overload. */
export interface RetryBudget {
  countRequest(): void
  /** Takes one retry; false when the budget is used up. */
  tryRetry(): boolean
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
  let newest = Math.floor(clock.now() / bucketMs)

  function advance(): number {
    const now = Math.floor(clock.now() / bucketMs)
    for (let i = Math.max(newest + 1, now - bucketCount + 1); i <= now; i++) {
      requests[i % bucketCount] = retries[i % bucketCount] = 0
    }
    newest = Math.max(newest, now)
    return newest % bucketCount
  }
  const sum = (counts: number[]): number => counts.reduce((total, each) => total + each, 0)

  return {
    countRequest() {
      const bucket = advance()
      requests[bucket] = (requests[bucket] ?? 0) + 1
    },
    tryRetry() {
      const bucket = advance()
      if (sum(retries) + 1 > sum(requests) * ratio) return false
      retries[bucket] = (retries[bucket] ?? 0) + 1
      return true
    },
  }
}
