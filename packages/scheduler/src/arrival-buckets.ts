/** Length of the time spans in which arrivals are counted, in milliseconds. */
export const bucketMs = 100

/** Jobs and work that arrived in some time. */
export interface Arrived {
  jobs: number
  /** Core-milliseconds. */
  coreMs: number
}

/** The number of a time span, and the jobs and the work that arrived in it. */
export type SavedBucket = [number: number, jobs: number, coreMs: number]

interface Bucket extends Arrived {
  /** Counted before the state was saved; the same jobs may be counted again. */
  saved: Arrived
}

const nothing: Arrived = { jobs: 0, coreMs: 0 }

/**
 * Counts arrivals by time span. After a takeover, open jobs are counted again: each span then holds
 * the larger of the saved count and the new one, as neither contains a job that did not arrive.
 *
 * @example
 * const buckets = new ArrivalBuckets(state.buckets)
 * buckets.add(acceptedAt, coreMs)
 */
export class ArrivalBuckets {
  readonly #buckets = new Map<number, Bucket>()

  constructor(saved: readonly SavedBucket[] = []) {
    for (const [number, jobs, coreMs] of saved)
      this.#buckets.set(number, { ...nothing, saved: { jobs, coreMs } })
  }

  add(at: number, coreMs: number): void {
    const number = Math.floor(at / bucketMs)
    const bucket = this.#buckets.get(number) ?? { ...nothing, saved: nothing }
    bucket.jobs += 1
    bucket.coreMs += coreMs
    this.#buckets.set(number, bucket)
  }

  /** Returns what arrived in the time span that contains `at`. */
  in(at: number): Arrived {
    const bucket = this.#buckets.get(Math.floor(at / bucketMs))
    if (bucket === undefined) return nothing
    return {
      jobs: Math.max(bucket.jobs, bucket.saved.jobs),
      coreMs: Math.max(bucket.coreMs, bucket.saved.coreMs),
    }
  }

  /** Returns what arrived from the start of a time span to another time. */
  between(from: number, until: number): Arrived {
    const sum = { ...nothing }
    for (let at = from; at < until; at += bucketMs) {
      const { jobs, coreMs } = this.in(at)
      sum.jobs += jobs
      sum.coreMs += coreMs
    }
    return sum
  }

  /** Forgets what arrived before a time. */
  deleteBefore(at: number): void {
    for (const number of this.#buckets.keys())
      if (number * bucketMs < at) this.#buckets.delete(number)
  }

  encode(): SavedBucket[] {
    return [...this.#buckets.keys()]
      .sort((a, b) => a - b)
      .map(number => {
        const { jobs, coreMs } = this.in(number * bucketMs)
        return [number, jobs, Math.round(coreMs)]
      })
  }
}

/** Returns the start of the time span that contains `at`. */
export function startOfBucket(at: number): number {
  return Math.floor(at / bucketMs) * bucketMs
}
