import type { Clock } from '@bulrushbridge/errors'
import type { TableService } from '@bulrushbridge/store'
import type { RequestedResources } from './job.js'

/**
 * Table of pool summaries, key `<pool>`. The placement duty of each pool writes its summary, and
 * entry hosts read it to refuse jobs that are too large and to estimate waits.
 */
export const poolSummariesTable = 'pool-summaries'

/** Age at which a cached summary is read again. */
const refreshIntervalMs = 10_000

/** Timeout of a read; an acceptance waits at most this long for the first read of a pool. */
const readTimeoutMs = 500

/** Age at which a summary is ignored, because the placement duty has stopped updating it. */
const maxSummaryAgeMs = 120_000

/** Resources of one worker. */
export type WorkerSize = Pick<RequestedResources, 'cpus' | 'memoryMb' | 'accelerators'>

/** Value of a row in `pool-summaries`. */
export interface PoolSummary {
  /** The largest workers: for each, no other worker has at least as much of every resource. */
  largest: (WorkerSize & { seenAt: number })[]
  /** Expected wait of a new job by team, in milliseconds. Teams without waiting jobs are absent. */
  waitMs: Record<string, number>
  /** Wall-clock time of the write in milliseconds. */
  at: number
}

/**
 * Whether the job is too large for every worker, even an empty one. False while no worker is known.
 *
 * @example
 * exceedsEveryWorker(job.request, summary.largest)
 */
export function exceedsEveryWorker(request: WorkerSize, sizes: readonly WorkerSize[]): boolean {
  const fits = (size: WorkerSize) =>
    request.cpus <= size.cpus &&
    request.memoryMb <= size.memoryMb &&
    request.accelerators <= size.accelerators
  return sizes.length > 0 && !sizes.some(fits)
}

/** Cache of pool summaries on an entry host. */
export interface PoolSummaryCache {
  /**
   * Resolves with the summary of a pool, or undefined when none is known or it is too old. Only the
   * first call for a pool waits for a read; later calls return the cached summary.
   */
  get(pool: string): Promise<PoolSummary | undefined>
}

/**
 * Creates a cache of pool summaries. It reads each pool at most once in 10 s, and only pools for
 * which `get` is called.
 *
 * @example
 * const summary = await summaries.get('batch')
 */
export function createPoolSummaryCache(opts: {
  table: TableService
  clock: Clock
  wallClock: () => number
}): PoolSummaryCache {
  const { table, clock, wallClock } = opts
  const cache = new Map<string, { summary: PoolSummary | undefined; readAt: number }>()
  const pendingReads = new Map<string, Promise<void>>()
  const read = async (pool: string) => {
    const known = cache.get(pool)?.summary
    // When the read fails, the last summary is kept until it expires.
    const row = await table
      .read<PoolSummary>(poolSummariesTable, pool, { deadline: clock.now() + readTimeoutMs })
      .catch(() => (known === undefined ? undefined : { value: known }))
    cache.set(pool, { summary: row?.value, readAt: clock.now() })
    pendingReads.delete(pool)
  }
  return {
    get: async pool => {
      const known = cache.get(pool)
      if (known === undefined || clock.now() - known.readAt >= refreshIntervalMs) {
        const pending = pendingReads.get(pool) ?? read(pool)
        pendingReads.set(pool, pending)
        if (known === undefined) await pending
      }
      const summary = cache.get(pool)?.summary
      if (summary === undefined) return undefined
      return wallClock() - summary.at < maxSummaryAgeMs ? summary : undefined
    },
  }
}
