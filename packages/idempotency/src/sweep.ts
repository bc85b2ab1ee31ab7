import type { Check, TableService } from '@bulrushbridge/store'
import { onceTable, type OnceRow } from './records.js'

/** How long a record protects against repeats. */
export const retentionMs = 24 * 60 * 60 * 1_000

/** Rows deleted by one transaction. */
const rowsPerTransaction = 100

/** Options of {@link sweep}. */
export interface SweepOptions {
  table: TableService
  /** The check of the duty under which the sweep runs. */
  check: Check
  /** Rows examined by this call. */
  limit: number
  /** Where the previous call stopped. */
  after?: string
  /** Wall clock in milliseconds. */
  wallClock?: () => number
}

/** What a sweep did; without `next` it reached the end of the table. */
export interface Swept {
  removed: number
  next?: string
}

/**
 * Removes records older than 24 h. It examines at most `limit` rows; the next call continues at
 * `next`. A lost duty ends it without effect.
 *
 * @example
 * const { next } = await sweep({ table, check: held.check, limit: 500 })
 */
export async function sweep(opts: SweepOptions): Promise<Swept> {
  const { table, limit } = opts
  // "\0" is the smallest suffix, so the scan starts behind the last row.
  const from = opts.after === undefined ? {} : { from: `${opts.after}\0` }
  const rows = await table.scan<OnceRow>(onceTable, { ...from, limit })
  const oldest = (opts.wallClock ?? Date.now)() - retentionMs
  const expired = rows.filter(row => row.value.at < oldest)
  let removed = 0
  for (let at = 0; at < expired.length; at += rowsPerTransaction) {
    const part = expired.slice(at, at + rowsPerTransaction)
    const checks = part.map(({ key, version }) => ({ table: onceTable, key, version }))
    const writes = part.map(({ key }) => ({ table: onceTable, key, value: null }))
    const result = await table.commit({ checks: [opts.check, ...checks], writes })
    // A row that changed meanwhile is left to the next round.
    if (result.committed) removed += part.length
  }
  const last = rows.at(-1)
  return rows.length < limit || last === undefined ? { removed } : { removed, next: last.key }
}
