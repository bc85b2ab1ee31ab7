import type { Check, TableService } from '@bulrushbridge/store'
import { idempotencyTable, type IdempotencyRow } from './records.js'

/** Time for which a record prevents a second run of its request, in milliseconds. */
export const retentionMs = 24 * 60 * 60 * 1_000

/** Most rows that one transaction deletes. */
const rowsPerTransaction = 100

/** Options of {@link sweepRecords}. */
export interface SweepOptions {
  table: TableService
  /** Check that fails when this process no longer holds the duty under which it sweeps. */
  check: Check
  /** Most rows that this call examines. */
  limit: number
  /** Key of the last row that the previous call examined. */
  after?: string
  /** Wall clock in milliseconds. */
  wallClock?: () => number
}

/** Result of a sweep; without `next` it reached the end of the table. */
export interface SweepResult {
  removed: number
  next?: string
}

/**
 * Removes records older than 24 h. It examines at most `limit` rows; pass `next` as `after`
 * of the following call. If the duty was lost, nothing is removed.
 *
 * @example
 * const { next } = await sweepRecords({ table, check: held.check, limit: 500 })
 */
export async function sweepRecords(opts: SweepOptions): Promise<SweepResult> {
  const { table, limit } = opts
  // "\0" is the smallest suffix, so the scan starts right after the last examined row.
  const from = opts.after === undefined ? {} : { from: `${opts.after}\0` }
  const rows = await table.scan<IdempotencyRow>(idempotencyTable, { ...from, limit })
  const expiresBefore = (opts.wallClock ?? Date.now)() - retentionMs
  const expired = rows.filter(row => row.value.at < expiresBefore)
  let removed = 0
  for (let start = 0; start < expired.length; start += rowsPerTransaction) {
    const batch = expired.slice(start, start + rowsPerTransaction)
    const checks = batch.map(({ key, version }) => ({ table: idempotencyTable, key, version }))
    const writes = batch.map(({ key }) => ({ table: idempotencyTable, key, value: null }))
    const result = await table.commit({ checks: [opts.check, ...checks], writes })
    // When a row of the batch has changed meanwhile, the batch is left to a later sweep.
    if (result.committed) removed += batch.length
  }
  const last = rows.at(-1)
  return rows.length < limit || last === undefined ? { removed } : { removed, next: last.key }
}
