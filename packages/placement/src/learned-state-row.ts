import type { Clock } from '@bulrushbridge/errors'
import type { TableService } from '@bulrushbridge/store'
import type { WorkerFailureState, WorkerFailureTracker } from './worker-failure-tracker.js'
import type { LearnedSizes, LearnedSizesState } from './learned-sizes.js'
import type { TaskStore } from './task-store.js'

/** Table of what the placement of each pool has learned, key `<pool>`. */
export const placementLearnedTable = 'placement-learned'

/**
 * Shortest time between two writes, in milliseconds: with 184 pools at most 37 writes a second, and
 * a new holder lacks at most what was learned in this time.
 */
const minWriteIntervalMs = 5_000

interface LearnedStateValue {
  sizes: LearnedSizesState
  blame: WorkerFailureState
}

/** Options of {@link LearnedStateRow}. */
export interface LearnedStateRowOptions {
  table: TableService
  pool: string
  clock: Clock
  taskStore: TaskStore
  sizes: LearnedSizes
  failureTracker: WorkerFailureTracker
}

/** The row from which a new holder of the duty knows what the former one had learned. */
export class LearnedStateRow {
  readonly #opts: LearnedStateRowOptions
  #isLoaded = false
  #writtenText = ''
  #nextWriteAt = -Infinity

  constructor(opts: LearnedStateRowOptions) {
    this.#opts = opts
  }

  /** Takes over what is stored, once in a term. */
  async load(): Promise<void> {
    if (this.#isLoaded) return
    const { table, pool, sizes, failureTracker } = this.#opts
    const row = await table.read<LearnedStateValue>(placementLearnedTable, pool)
    if (row !== undefined) {
      sizes.restore(row.value.sizes)
      failureTracker.restore(row.value.blame)
      this.#writtenText = JSON.stringify(row.value)
    }
    this.#isLoaded = true
  }

  /** Writes what has changed, under the fence of the duty. */
  async save(): Promise<void> {
    const { clock, pool, taskStore, sizes, failureTracker } = this.#opts
    if (clock.now() < this.#nextWriteAt) return
    this.#nextWriteAt = clock.now() + minWriteIntervalMs
    const value: LearnedStateValue = { sizes: sizes.state(), blame: failureTracker.state() }
    const text = JSON.stringify(value)
    if (text === this.#writtenText) return
    await taskStore.writeRow({ table: placementLearnedTable, key: pool, value })
    this.#writtenText = text
  }
}
