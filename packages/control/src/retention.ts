import { heartbeatsTable } from '@bulrushbridge/entry'
import type { Clock } from '@bulrushbridge/errors'
import {
  idempotencyKeysTable,
  storedJobsTable,
  payloadsTable,
  type StoredJob,
} from '@bulrushbridge/jobs'
import type { Check, Row, TableService, Write } from '@bulrushbridge/store'

/** Most rows of each table that one round examines. */
const maxRowsPerRound = 500

/** Most rows of each table that one round removes. */
const maxRemovedPerRound = 100

/**
 * Time without a change after which a heartbeat row belongs to no running process, in milliseconds.
 */
const heartbeatSilenceMs = 60_000

const endedStates: ReadonlySet<string> = new Set(['finished', 'failed', 'cancelled', 'lost'])

/** Options of {@link createRetention}. */
export interface RetentionOptions {
  table: TableService
  clock: Clock
  /** Wall clock, in milliseconds since the epoch; stored rows have such times. */
  wallClock: () => number
  /** Time for which ended jobs, their idempotency keys and decision records are kept, in milliseconds. */
  retentionMs: number
  /** Returns the check of the duty under which rows are removed, or undefined when it is lost. */
  dutyCheck: () => Check | undefined
  /** Returns the ids of the registered entry hosts. */
  memberIds: () => ReadonlySet<string>
}

/**
 * Creates the removal of old rows: ended jobs with their payloads, idempotency keys whose job is
 * removed, decision records, and heartbeats of entry hosts that are no longer registered. A round resolves to the
 * number of removed rows. If a row of a table changes meanwhile, the table's rows are left to a
 * later round.
 *
 * @example
 * const removed = await createRetention(opts).runRound()
 */
export function createRetention(opts: RetentionOptions): { runRound(): Promise<number> } {
  const { table, clock, wallClock, retentionMs } = opts
  /** Key of the last examined row, by table; no entry when the next scan begins at the start. */
  const lastKeys = new Map<string, string>()
  /** Last version of each heartbeat row, and since when it has been seen, on `clock`. */
  const heartbeatVersions = new Map<string, { version: number; since: number }>()

  /**
   * Examines the next rows of a table and removes those for which `planRemoval` returns further
   * checks and writes of the transaction; undefined keeps the row. The first call after the end of
   * the table begins at its start. Resolves to the number of removed rows.
   */
  const sweep = async <T>(
    tableName: string,
    planRemoval: (
      row: Row<T>,
    ) => Promise<TransactionParts | undefined> | TransactionParts | undefined,
  ): Promise<number> => {
    const lastExaminedKey = lastKeys.get(tableName)
    const startOption = lastExaminedKey === undefined ? {} : { from: `${lastExaminedKey}\0` }
    const rows = await table.scan<T>(tableName, { ...startOption, limit: maxRowsPerRound })
    const tx: TransactionParts = { checks: [], writes: [] }
    let lastKey: string | undefined
    let removedCount = 0
    for (const row of rows) {
      if (removedCount >= maxRemovedPerRound) break
      lastKey = row.key
      const parts = await planRemoval(row)
      if (parts === undefined) continue
      removedCount += 1
      tx.checks.push({ table: tableName, key: row.key, version: row.version }, ...parts.checks)
      tx.writes.push({ table: tableName, key: row.key, value: null }, ...parts.writes)
    }
    const isAtEnd = rows.length < maxRowsPerRound && lastKey === rows.at(-1)?.key
    if (isAtEnd || lastKey === undefined) lastKeys.delete(tableName)
    else lastKeys.set(tableName, lastKey)
    const fence = opts.dutyCheck()
    if (removedCount === 0 || fence === undefined) return 0
    const result = await table.commit({ checks: [fence, ...tx.checks], writes: tx.writes })
    return result.committed ? removedCount : 0
  }

  const isExpired = (time: number) => time < wallClock() - retentionMs
  const noFurtherParts = { checks: [], writes: [] }

  const removeJobs = () =>
    sweep<StoredJob>(storedJobsTable, ({ key, value }) => {
      const isRemovable =
        endedStates.has(value.state) && isExpired(value.endedAt ?? value.acceptedAt)
      const payload = { table: payloadsTable, key, value: null }
      return isRemovable ? { checks: [], writes: [payload] } : undefined
    })
  const removeIdempotencyKeys = () =>
    sweep<{ id: string; at: number }>(idempotencyKeysTable, async ({ key, value }) => {
      if (!isExpired(value.at)) return undefined
      const jobRowKey = `${key.slice(0, key.indexOf('/'))}/${value.id}`
      // An idempotency key prevents a second acceptance for as long as its job is stored.
      if ((await table.read(storedJobsTable, jobRowKey)) !== undefined) return undefined
      return { checks: [{ table: storedJobsTable, key: jobRowKey, version: 0 }], writes: [] }
    })
  const removeDecisions = () =>
    sweep<{ lastAt: string }>('decisions', ({ value }) =>
      isExpired(Date.parse(value.lastAt)) ? noFurtherParts : undefined,
    )
  const removeSilentHeartbeats = () =>
    sweep(heartbeatsTable, ({ key, version }) => {
      const previous = heartbeatVersions.get(key)
      if (previous?.version !== version) heartbeatVersions.set(key, { version, since: clock.now() })
      const silenceMs = previous?.version === version ? clock.now() - previous.since : 0
      // A process that is not registered yet also writes heartbeats, so they must have ended.
      return silenceMs >= heartbeatSilenceMs && !opts.memberIds().has(key)
        ? noFurtherParts
        : undefined
    })

  return {
    runRound: async () => {
      let removedCount = 0
      for (const removeRows of [
        removeJobs,
        removeIdempotencyKeys,
        removeDecisions,
        removeSilentHeartbeats,
      ])
        removedCount += await removeRows()
      return removedCount
    },
  }
}

/** Checks and writes that a transaction includes. */
interface TransactionParts {
  checks: Check[]
  writes: Write[]
}
