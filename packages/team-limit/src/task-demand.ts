import type { TableService } from '@bulrushbridge/store'

/** Table with the permit demand of each pool's tasks; the key of a row is `<team>/<pool>`. */
const taskDemandTable = 'permit-wishes'

/** Interval at which an entry host reads the demand of all teams with one scan, in milliseconds. */
const pollMs = 1_000

interface TaskDemandRow {
  team: string
  /** Permits that running tasks use plus permits that queued jobs need. */
  total: number
}

/** Reads the permit demand of tasks, so that entry hosts give up idle permits for them. */
export class TaskDemand {
  readonly #table: TableService
  readonly #onChange: () => void
  #totals = new Map<string, number>()
  #nextReadAt = -Infinity
  #isReading = false

  constructor(table: TableService, onChange: () => void) {
    this.#table = table
    this.#onChange = onChange
  }

  /** Returns the number of permits that the team's tasks use or need. */
  total(team: string): number {
    return this.#totals.get(team) ?? 0
  }

  tick(now: number): void {
    if (this.#isReading || now < this.#nextReadAt) return
    this.#isReading = true
    this.#nextReadAt = now + pollMs
    this.#read()
      // After a failed read the last demand stays in use. It only affects idle permits.
      .catch(() => undefined)
      .finally(() => {
        this.#isReading = false
      })
  }

  async #read(): Promise<void> {
    const rows = await this.#table.scan<TaskDemandRow>(taskDemandTable)
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

/** Writes the permit demand of one pool's tasks. */
export interface TaskDemandWriter {
  /**
   * Replaces the demand of a team; 0 removes its row. An unchanged value is not written.
   * @throws StoreError when the row cannot be written; the next call tries again.
   */
  set(team: string, total: number): Promise<void>
}

/**
 * Creates the writer of a pool's task demand. It needs no fencing token, because the demand only
 * makes entry hosts give up idle permits and never starts work.
 *
 * @example
 * const demand = createTaskDemandWriter({ table, pool: 'batch' })
 * await demand.set('lumen', running + waiting)
 */
export function createTaskDemandWriter(opts: {
  table: TableService
  pool: string
}): TaskDemandWriter {
  const writtenTotals = new Map<string, number>()
  return {
    set: async (team, total) => {
      if (writtenTotals.get(team) === total) return
      const value: TaskDemandRow | null = total === 0 ? null : { team, total }
      const write = {
        table: taskDemandTable,
        key: `${encodeURIComponent(team)}/${opts.pool}`,
        value,
      }
      await opts.table.commit({ checks: [], writes: [write] })
      writtenTotals.set(team, total)
    },
  }
}
