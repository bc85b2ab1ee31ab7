import type { Clock } from '@bulrushbridge/errors'
import type { TableService } from '@bulrushbridge/store'
import type { JobRequest } from './job.js'

/** What entry hosts need to know of a pool, key `<pool>`; written by its placement duty. */
export const poolSummariesTable = 'pool-summaries'

/** Age from which a cached summary is read again, in milliseconds. */
const refreshMs = 10_000

/** Longest time that an acceptance waits for the first read, in milliseconds. */
const readMs = 500

/** Age from which a summary tells nothing, in milliseconds: no duty has written it for long. */
const expiryMs = 120_000

/** Amounts of one worker. */
export type WorkerSize = Pick<JobRequest, 'cpus' | 'memoryMb' | 'accelerators'>

/** Value of a row in `pool-summaries`. */
export interface PoolSummary {
  /** The largest workers: each has more of something than every other. */
  largest: (WorkerSize & { seenAt: number })[]
  /** Expected wait of a further job by team, in milliseconds; teams without waiting jobs lack. */
  waitMs: Record<string, number>
  /** Wall clock of the write in milliseconds. */
  at: number
}

/**
 * Whether no worker holds the job, even when it is empty. False while no worker is known.
 *
 * @example
 * exceedsAll(job.request, summary.largest)
 */
export function exceedsAll(request: WorkerSize, sizes: readonly WorkerSize[]): boolean {
  const holds = (size: WorkerSize) =>
    request.cpus <= size.cpus &&
    request.memoryMb <= size.memoryMb &&
    request.accelerators <= size.accelerators
  return sizes.length > 0 && !sizes.some(holds)
}

/** Cached summaries of an entry host. */
export interface PoolSummaries {
  /** Undefined when nothing is known; waits only for the first read of a pool. */
  get(pool: string): Promise<PoolSummary | undefined>
}

/**
 * Creates the cache: at most one read per pool in 10 s, and none for pools without jobs.
 *
 * @example
 * const summary = await summaries.get('batch')
 */
export function createPoolSummaries(opts: {
  table: TableService
  clock: Clock
  wallClock: () => number
}): PoolSummaries {
  const { table, clock, wallClock } = opts
  const cached = new Map<string, { summary: PoolSummary | undefined; readAt: number }>()
  const reading = new Map<string, Promise<void>>()
  const read = async (pool: string) => {
    const known = cached.get(pool)?.summary
    // Without an answer the last summary stays until it expires.
    const row = await table
      .read<PoolSummary>(poolSummariesTable, pool, { deadline: clock.now() + readMs })
      .catch(() => (known === undefined ? undefined : { value: known }))
    cached.set(pool, { summary: row?.value, readAt: clock.now() })
    reading.delete(pool)
  }
  return {
    get: async pool => {
      const known = cached.get(pool)
      if (known === undefined || clock.now() - known.readAt >= refreshMs) {
        const pending = reading.get(pool) ?? read(pool)
        reading.set(pool, pending)
        if (known === undefined) await pending
      }
      const summary = cached.get(pool)?.summary
      if (summary === undefined) return undefined
      return wallClock() - summary.at < expiryMs ? summary : undefined
    },
  }
}
