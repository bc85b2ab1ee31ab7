import { heartbeatsTable } from '@bulrushbridge/entry'
import type { Clock } from '@bulrushbridge/errors'
import {
  idempotencyKeysTable,
  storedJobsTable,
  payloadsTable,
  type StoredJob,
} from '@bulrushbridge/jobs'
import type { Check, Row, TableService, Write } from '@bulrushbridge/store'

/** Rows of each table that one round examines. */
const rowsPerRound = 500

/** Rows that one round removes of each table at most. */
const removedPerRound = 100

/** A heartbeat row that has not changed for this time belongs to no running process. */
const silentMs = 60_000

const endedStates: ReadonlySet<string> = new Set(['finished', 'failed', 'cancelled', 'lost'])

/** Options of {@link createRetention}. */
export interface RetentionOptions {
  table: TableService
  clock: Clock
  /** Wall clock in milliseconds. */
  wallClock: () => number
  /** How long ended jobs and decision records are kept, in milliseconds. */
  retentionMs: number
  /** The check of the duty under which rows are removed. */
  check: () => Check | undefined
  /** Ids of the registered entry hosts. */
  members: () => ReadonlySet<string>
}

/**
 * Creates the removal of old rows: ended jobs with their payloads, job keys without a job, decision
 * records, and heartbeats of entry hosts that are no longer registered. A row that changes is left
 * to a later round.
 *
 * @example
 * const removed = await createRetention(opts).round()
 */
export function createRetention(opts: RetentionOptions): { round(): Promise<number> } {
  const { table, clock, wallClock, retentionMs } = opts
  const positions = new Map<string, string>()
  const heartbeats = new Map<string, { version: number; since: number }>()

  /** Examines the next rows of a table and goes back to the start behind the last one. */
  const sweep = async <T>(
    name: string,
    partsOf: (row: Row<T>) => Promise<Parts | undefined> | Parts | undefined,
  ): Promise<number> => {
    const after = positions.get(name)
    const from = after === undefined ? {} : { from: `${after}\0` }
    const rows = await table.scan<T>(name, { ...from, limit: rowsPerRound })
    const tx: Parts = { checks: [], writes: [] }
    let last: string | undefined
    let count = 0
    for (const row of rows) {
      if (count >= removedPerRound) break
      last = row.key
      const parts = await partsOf(row)
      if (parts === undefined) continue
      count += 1
      tx.checks.push({ table: name, key: row.key, version: row.version }, ...parts.checks)
      tx.writes.push({ table: name, key: row.key, value: null }, ...parts.writes)
    }
    const isAtEnd = rows.length < rowsPerRound && last === rows.at(-1)?.key
    if (isAtEnd || last === undefined) positions.delete(name)
    else positions.set(name, last)
    const fence = opts.check()
    if (count === 0 || fence === undefined) return 0
    const result = await table.commit({ checks: [fence, ...tx.checks], writes: tx.writes })
    return result.committed ? count : 0
  }

  const isOld = (at: number) => at < wallClock() - retentionMs
  const alone = { checks: [], writes: [] }

  const jobs = () =>
    sweep<StoredJob>(storedJobsTable, ({ key, value }) => {
      const isEnded = endedStates.has(value.state) && isOld(value.endedAt ?? value.acceptedAt)
      const payload = { table: payloadsTable, key, value: null }
      return isEnded ? { checks: [], writes: [payload] } : undefined
    })
  const jobKeys = () =>
    sweep<{ id: string; at: number }>(idempotencyKeysTable, async ({ key, value }) => {
      if (!isOld(value.at)) return undefined
      const job = `${key.slice(0, key.indexOf('/'))}/${value.id}`
      // A key protects against repeats for as long as its job is stored.
      if ((await table.read(storedJobsTable, job)) !== undefined) return undefined
      return { checks: [{ table: storedJobsTable, key: job, version: 0 }], writes: [] }
    })
  const decisions = () =>
    sweep<{ lastAt: string }>('decisions', ({ value }) =>
      isOld(Date.parse(value.lastAt)) ? alone : undefined,
    )
  const silentHeartbeats = () =>
    sweep(heartbeatsTable, ({ key, version }) => {
      const known = heartbeats.get(key)
      if (known?.version !== version) heartbeats.set(key, { version, since: clock.now() })
      const silentFor = known?.version === version ? clock.now() - known.since : 0
      // A process that is not registered yet writes heartbeats as well.
      return silentFor >= silentMs && !opts.members().has(key) ? alone : undefined
    })

  return {
    round: async () => {
      let removed = 0
      for (const step of [jobs, jobKeys, decisions, silentHeartbeats]) removed += await step()
      return removed
    },
  }
}

interface Parts {
  checks: Check[]
  writes: Write[]
}
