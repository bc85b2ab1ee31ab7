import type { Check, TableService, Write } from '@bulrushbridge/store'
import {
  readLedger,
  replaceRow,
  tasksHolder,
  countUnallocated,
  withLimit,
  type LedgerEntry,
} from './ledger.js'

/** Checks and writes for the transaction that starts or ends tasks. */
export interface TaskPermitEntries {
  checks: Check[]
  writes: Write[]
}

/** Permits of tasks on workers, counted in the ledger under the holder `tasks`. */
export interface TaskPermits {
  /** Applies a configuration; an older version than the last is ignored. */
  configure(cfg: { version: number; limits: ReadonlyMap<string, number> }): void
  /**
   * Returns the entries that reserve permits for `n` tasks, or undefined when the limit leaves too
   * few.
   * @throws StoreError when the row cannot be read.
   */
  reserveForTask(team: string, n: number): Promise<TaskPermitEntries | undefined>
  /**
   * Returns the entries that release the permits of `n` ended tasks.
   * @throws StoreError when the row cannot be read; RangeError when the ledger counts fewer tasks.
   */
  releaseForTask(team: string, n: number): Promise<TaskPermitEntries>
}

/**
 * Creates the permits of tasks for the placement duty.
 *
 * @example
 * const permits = await tasks.reserveForTask('lumen', 1)
 * if (permits) await table.commit({ checks: [...checks, ...permits.checks], writes: [...writes, ...permits.writes] })
 */
export function createTaskPermits({ table }: { table: TableService }): TaskPermits {
  let version = -1
  let limits: ReadonlyMap<string, number> = new Map()

  /** A lower limit does not end running tasks, so `owed` counts all of them until they end. */
  const entryOf = (running: number, limit: number): LedgerEntry => ({
    count: Math.min(running, limit),
    incarnation: tasksHolder,
    held: Math.min(running, limit),
    limit,
    owed: running,
  })

  return {
    configure(cfg) {
      if (cfg.version < version) return
      version = cfg.version
      limits = new Map(cfg.limits)
    },
    async reserveForTask(team, n) {
      const read = await readLedger(table, team)
      if (read && read.value.limitVersion > version) return undefined
      const row = withLimit(read?.value, limits.get(team) ?? 0, version)
      if (countUnallocated(row) < n) return undefined
      const running = (row.holders[tasksHolder]?.owed ?? 0) + n
      const holders = { ...row.holders, [tasksHolder]: entryOf(running, row.limit) }
      return replaceRow(team, read, { ...row, holders })
    },
    async releaseForTask(team, n) {
      const read = await readLedger(table, team)
      const running = read?.value.holders[tasksHolder]?.owed ?? 0
      if (!read || running < n) {
        throw new RangeError(
          `cannot release permits of ${n} tasks: the ledger counts ${running} for team ${team}`,
        )
      }
      const entry = entryOf(running - n, read.value.limit)
      const holders = { ...read.value.holders, [tasksHolder]: entry }
      return replaceRow(team, read, { ...read.value, holders })
    },
  }
}
