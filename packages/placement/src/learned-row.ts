import type { Clock } from '@bulrushbridge/errors'
import type { TableService } from '@bulrushbridge/store'
import type { BlameState, WorkerBlame } from './blame.js'
import type { LearnedSizes, LearnedState } from './learned-sizes.js'
import type { TaskRows } from './task-rows.js'

/** Table of what the placement of each pool has learned, key `<pool>`. */
export const learnedTable = 'placement-learned'

/**
 * Shortest time between two writes, in milliseconds: with 184 pools at most 37 writes a second, and
 * a new holder lacks at most what was learned in this time.
 */
const writeIntervalMs = 5_000

interface LearnedValue {
  sizes: LearnedState
  blame: BlameState
}

/** Options of {@link LearnedRow}. */
export interface LearnedRowOptions {
  table: TableService
  pool: string
  clock: Clock
  rows: TaskRows
  sizes: LearnedSizes
  blame: WorkerBlame
}

/** The row from which a new holder of the duty knows what the former one had learned. */
export class LearnedRow {
  readonly #opts: LearnedRowOptions
  #isLoaded = false
  #written = ''
  #nextAt = -Infinity

  constructor(opts: LearnedRowOptions) {
    this.#opts = opts
  }

  /** Takes over what is stored, once in a term. */
  async load(): Promise<void> {
    if (this.#isLoaded) return
    const { table, pool, sizes, blame } = this.#opts
    const row = await table.read<LearnedValue>(learnedTable, pool)
    if (row !== undefined) {
      sizes.restore(row.value.sizes)
      blame.restore(row.value.blame)
      this.#written = JSON.stringify(row.value)
    }
    this.#isLoaded = true
  }

  /** Writes what has changed, under the fence of the duty. */
  async save(): Promise<void> {
    const { clock, pool, rows, sizes, blame } = this.#opts
    if (clock.now() < this.#nextAt) return
    this.#nextAt = clock.now() + writeIntervalMs
    const value: LearnedValue = { sizes: sizes.state(), blame: blame.state() }
    const text = JSON.stringify(value)
    if (text === this.#written) return
    await rows.write({ table: learnedTable, key: pool, value })
    this.#written = text
  }
}
