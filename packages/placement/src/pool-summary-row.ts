import type { Clock } from '@bulrushbridge/errors'
import type { WorkerRow } from '@bulrushbridge/host'
import { poolSummariesTable, type PoolSummary, type WorkerSize } from '@bulrushbridge/jobs'
import type { TableService } from '@bulrushbridge/store'
import { fits } from './work-resources.js'
import type { TaskStore } from './task-store.js'

/** Shortest time between two writes, in milliseconds: at most 18 writes a second with 184 pools. */
const minWriteIntervalMs = 10_000

/** An unchanged summary is written again after this time, in milliseconds, before it expires. */
const refreshIntervalMs = 30_000

/**
 * How long the size of a worker counts after the worker left the pool, in milliseconds. A worker in
 * maintenance has no row in `hosts`; its return is due in less than this time.
 */
const departedSizeTtlMs = 60 * 60_000

/** Options of {@link PoolSummaryRow}. */
export interface PoolSummaryRowOptions {
  table: TableService
  pool: string
  clock: Clock
  wallClock: () => number
  taskStore: TaskStore
}

/**
 * Keeps the sizes of the largest workers of a pool, and writes the summary row from which entry
 * hosts read these sizes and the expected waits.
 */
export class PoolSummaryRow {
  readonly #opts: PoolSummaryRowOptions
  #largestSizes: PoolSummary['largest'] = []
  #isLoaded = false
  #writtenText = ''
  #writtenAt = -Infinity

  constructor(opts: PoolSummaryRowOptions) {
    this.#opts = opts
  }

  /** Reads the sizes that the former holder of the duty stored; does so once in a term. */
  async load(): Promise<void> {
    if (this.#isLoaded) return
    const { table, pool } = this.#opts
    const row = await table.read<PoolSummary>(poolSummariesTable, pool)
    this.#largestSizes = maximalSizes([...this.#largestSizes, ...(row?.value.largest ?? [])])
    this.#isLoaded = true
  }

  /** Records the sizes of the workers that are in the pool now. */
  registerWorkers(workers: readonly WorkerRow[]): void {
    const seenAt = this.#opts.wallClock()
    const present = workers.map(({ cpus, memoryMb, accelerators }) => {
      return { cpus, memoryMb, accelerators, seenAt }
    })
    const recent = this.#largestSizes.filter(size => seenAt - size.seenAt < departedSizeTtlMs)
    this.#largestSizes = maximalSizes([...present, ...recent])
  }

  /** Sizes of the largest workers, including workers that left a short time ago. */
  largestSizes(): readonly WorkerSize[] {
    return this.#largestSizes
  }

  /** Writes the summary when it has changed, in a transaction that checks the fence of the duty. */
  async save(waits: ReadonlyMap<string, number>): Promise<void> {
    const { clock, wallClock, pool, taskStore } = this.#opts
    const sinceWriteMs = clock.now() - this.#writtenAt
    if (sinceWriteMs < minWriteIntervalMs || this.#largestSizes.length === 0) return
    const waitMs = Object.fromEntries(waits)
    const sizes = this.#largestSizes.map(({ cpus, memoryMb, accelerators }) => {
      return [cpus, memoryMb, accelerators]
    })
    const text = JSON.stringify([sizes, waitMs])
    if (text === this.#writtenText && sinceWriteMs < refreshIntervalMs) return
    const value: PoolSummary = { largest: this.#largestSizes, waitMs, at: wallClock() }
    await taskStore.writeRow({ table: poolSummariesTable, key: pool, value })
    this.#writtenText = text
    this.#writtenAt = clock.now()
  }
}

/** The sizes that fit into no other size; of equal sizes the first. */
function maximalSizes<T extends WorkerSize>(sizes: readonly T[]): T[] {
  const maximal: T[] = []
  for (const size of sizes) {
    if (maximal.some(other => fits(other, size))) continue
    maximal.splice(0, maximal.length, ...maximal.filter(other => !fits(size, other)), size)
  }
  return maximal
}
