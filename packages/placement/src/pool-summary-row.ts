import type { Clock } from '@bulrushbridge/errors'
import type { WorkerRow } from '@bulrushbridge/host'
import { poolSummariesTable, type PoolSummary, type WorkerSize } from '@bulrushbridge/jobs'
import type { TableService } from '@bulrushbridge/store'
import { fits } from './amounts.js'
import type { TaskRows } from './task-rows.js'

/** Shortest time between two writes, in milliseconds: 18 a second with 184 pools. */
const writeIntervalMs = 10_000

/** A summary without changes is written again after this time, so that it does not expire. */
const rewriteMs = 30_000

/**
 * How long the size of a worker counts after it left, in milliseconds. A worker in maintenance has
 * no row in `hosts`, and its return is due within less than this.
 */
const rememberMs = 60 * 60_000

/** Options of {@link PoolSummaryRow}. */
export interface PoolSummaryRowOptions {
  table: TableService
  pool: string
  clock: Clock
  wallClock: () => number
  rows: TaskRows
}

/** The sizes of the pool's workers, and the row that tells entry hosts about the pool. */
export class PoolSummaryRow {
  readonly #opts: PoolSummaryRowOptions
  #largest: PoolSummary['largest'] = []
  #isLoaded = false
  #writtenText = ''
  #writtenAt = -Infinity

  constructor(opts: PoolSummaryRowOptions) {
    this.#opts = opts
  }

  /** Takes over the sizes that a former holder has seen, once in a term. */
  async load(): Promise<void> {
    if (this.#isLoaded) return
    const { table, pool } = this.#opts
    const row = await table.read<PoolSummary>(poolSummariesTable, pool)
    this.#largest = largestOf([...this.#largest, ...(row?.value.largest ?? [])])
    this.#isLoaded = true
  }

  /** Registers the workers that are in the pool now. */
  seen(workers: readonly WorkerRow[]): void {
    const seenAt = this.#opts.wallClock()
    const present = workers.map(({ cpus, memoryMb, accelerators }) => {
      return { cpus, memoryMb, accelerators, seenAt }
    })
    const recent = this.#largest.filter(size => seenAt - size.seenAt < rememberMs)
    this.#largest = largestOf([...present, ...recent])
  }

  /** Sizes of the largest workers, also of those that left a short time ago. */
  largest(): readonly WorkerSize[] {
    return this.#largest
  }

  /** Writes what has changed, under the fence of the duty. */
  async save(waits: ReadonlyMap<string, number>): Promise<void> {
    const { clock, wallClock, pool, rows } = this.#opts
    const sinceMs = clock.now() - this.#writtenAt
    if (sinceMs < writeIntervalMs || this.#largest.length === 0) return
    const waitMs = Object.fromEntries(waits)
    const sizes = this.#largest.map(({ cpus, memoryMb, accelerators }) => {
      return [cpus, memoryMb, accelerators]
    })
    const text = JSON.stringify([sizes, waitMs])
    if (text === this.#writtenText && sinceMs < rewriteMs) return
    const value: PoolSummary = { largest: this.#largest, waitMs, at: wallClock() }
    await rows.write({ table: poolSummariesTable, key: pool, value })
    this.#writtenText = text
    this.#writtenAt = clock.now()
  }
}

/** Sizes that no other size exceeds in everything; of equal ones the first. */
function largestOf<T extends WorkerSize>(sizes: readonly T[]): T[] {
  const kept: T[] = []
  for (const size of sizes) {
    if (kept.some(other => fits(other, size))) continue
    kept.splice(0, kept.length, ...kept.filter(other => !fits(size, other)), size)
  }
  return kept
}
