import type { Clock } from '@bulrushbridge/errors'
import type { TableService } from '@bulrushbridge/store'
import type { WorkerFailureState, WorkerFailureTracker } from './worker-failure-tracker.js'
import type { LearnedSizes, LearnedSizesState } from './learned-sizes.js'
import type { TaskStore } from './task-store.js'

/** Table of the learned state of the placement of each pool, key `<pool>`. */
export const placementLearnedTable = 'placement-learned'

/**
 * Shortest time between two writes, in milliseconds. With 184 pools this is at most 37 writes a
 * second, and a new holder of the duty lacks at most what was learned in this time.
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

/**
 * Stores learned sizes and worker failures, so that the next holder of the duty continues with
 * them.
 */
export class LearnedStateRow {
  readonly #opts: LearnedStateRowOptions
  #isLoaded = false
  #writtenText = ''
  #nextWriteAt = -Infinity

  constructor(opts: LearnedStateRowOptions) {
    this.#opts = opts
  }

  /** Restores the stored state; does so once in a term. */
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

  /** Writes the state when it has changed, in a transaction that checks the fence of the duty. */
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
