import type { TableService } from '@bulrushbridge/store'

/** Permits that the tasks of a pool use or want, key `<team>/<pool>`. */
const wishesTable = 'permit-wishes'

/** Interval at which entry hosts read the wishes, in milliseconds: one scan for all teams. */
const pollMs = 1_000

interface WishRow {
  team: string
  /** Permits of running tasks and those wanted for queued jobs. */
  total: number
}

/** Reads what tasks use and want, so that idle entry hosts leave room for them. */
export class TaskWishes {
  readonly #table: TableService
  readonly #onChange: () => void
  #totals = new Map<string, number>()
  #nextAt = -Infinity
  #busy = false

  constructor(table: TableService, onChange: () => void) {
    this.#table = table
    this.#onChange = onChange
  }

  /** Permits of the team's limit that are wanted for tasks. */
  total(team: string): number {
    return this.#totals.get(team) ?? 0
  }

  tick(now: number): void {
    if (this.#busy || now < this.#nextAt) return
    this.#busy = true
    this.#nextAt = now + pollMs
    this.#read()
      // Without an answer the last wishes stay: they only move idle permits.
      .catch(() => undefined)
      .finally(() => {
        this.#busy = false
      })
  }

  async #read(): Promise<void> {
    const rows = await this.#table.scan<WishRow>(wishesTable)
    const totals = new Map<string, number>()
    for (const { value } of rows) {
      totals.set(value.team, (totals.get(value.team) ?? 0) + value.total)
    }
    const isSame =
      totals.size === this.#totals.size && [...totals].every(([team, n]) => this.total(team) === n)
    this.#totals = totals
    if (!isSame) this.#onChange()
  }
}

/** Writes what the tasks of one pool use and want. */
export interface TaskWishWriter {
  /**
   * Replaces the wish of a team; 0 removes it. Writes only what changed.
   * @throws StoreError when the row cannot be written; the next call tries again.
   */
  set(team: string, total: number): Promise<void>
}

/**
 * Creates the writer of a pool's wishes. It needs no fence: a wish only makes idle entry hosts give
 * permits back, and no work starts by it.
 *
 * @example
 * const wishes = createTaskWishes({ table, pool: 'batch' })
 * await wishes.set('lumen', running + waiting)
 */
export function createTaskWishes(opts: { table: TableService; pool: string }): TaskWishWriter {
  const written = new Map<string, number>()
  return {
    set: async (team, total) => {
      if (written.get(team) === total) return
      const value: WishRow | null = total === 0 ? null : { team, total }
      const write = { table: wishesTable, key: `${encodeURIComponent(team)}/${opts.pool}`, value }
      await opts.table.commit({ checks: [], writes: [write] })
      written.set(team, total)
    },
  }
}
