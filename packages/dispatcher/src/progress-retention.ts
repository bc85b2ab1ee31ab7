import { normalizeError, systemClock } from '@bulrushbridge/errors'
import {
  hasEnded,
  partNames,
  progressSchema,
  progressTable,
  taskBlocksTable,
} from '@bulrushbridge/scheduler'
import {
  maxTransactionEntries,
  wait,
  type Check,
  type Row,
  type TableService,
} from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'

/** Pause between two removals, in milliseconds. */
const removalPauseMs = 60_000

/** Factor on the time for which an ended job's status is kept, because hosts' clocks differ. */
const retentionMargin = 1.5

/** Options of {@link createProgressRetention}. */
export interface ProgressRetentionOptions {
  store: TableService
  /** How long the status of an ended job can be queried, in milliseconds. */
  statusKeptMs: number
  log: Logger
}

/** Regularly removes the stored progress of jobs that ended long ago. */
export interface ProgressRetention {
  close(): Promise<void>
}

/**
 * Starts the removal of old progress.
 *
 * @example
 * const retention = createProgressRetention({ store, statusKeptMs: 60_000, log })
 */
export function createProgressRetention(opts: ProgressRetentionOptions): ProgressRetention {
  const closing = new AbortController()
  const removalLoop = async () => {
    for (;;) {
      await wait(systemClock, removalPauseMs, closing.signal)
      if (closing.signal.aborted) return
      try {
        for (const part of partNames) await removeOldProgress(opts, part, Date.now())
      } catch (err) {
        opts.log.warn('removing progress of ended jobs failed', {
          reason: normalizeError(err).message,
        })
      }
    }
  }
  const loopDone = removalLoop()
  return {
    close: async () => {
      closing.abort()
      await loopDone
    },
  }
}

/** Removes old progress rows of one part, and blocks that ended jobs left; exported for tests. */
export async function removeOldProgress(
  { store, statusKeptMs, log }: ProgressRetentionOptions,
  part: string,
  wallNow: number,
): Promise<void> {
  const blocks = await store.scan(taskBlocksTable, { part })
  const rows = await store.scan(progressTable, { part })
  const old: Row[] = []
  const unfinished = new Set<string>()
  const versions = new Map<string, number>()
  for (const row of rows) {
    versions.set(row.key, row.version)
    const { data: progress } = progressSchema.safeParse(row.value)
    const isOver = progress !== undefined && hasEnded(progress.status)
    if (!isOver || progress.steps !== undefined) unfinished.add(row.key)
    if (!isOver) continue
    if (wallNow - (progress.endedAt ?? wallNow) > retentionMargin * statusKeptMs) old.push(row)
  }
  const leftBlocks = blocks.filter(({ key }) => !unfinished.has(jobOf(key)))
  // Blocks go first: they are recognized by the progress row of their job. The job may be written beside
  // the scans, so its row must still be as it was found, or absent.
  const progressCheck = (key: string): Check => {
    const job = jobOf(key)
    return { table: progressTable, part, key: job, version: versions.get(job) ?? 0 }
  }
  const place = { table: taskBlocksTable, part }
  const removedBlocks = await removeRows(store, place, leftBlocks, progressCheck)
  const removedJobs = await removeRows(store, { table: progressTable, part }, old)
  if (removedJobs + removedBlocks > 0)
    log.info('progress of ended jobs removed', { part, jobs: removedJobs, blocks: removedBlocks })
}

/** The job of a block, by the key of its row. */
function jobOf(blockKey: string): string {
  return blockKey.slice(0, blockKey.indexOf('.'))
}

/**
 * Removes rows that are still as they were read, if a further check for each of them holds too; returns
 * their number.
 */
async function removeRows(
  store: TableService,
  place: { table: string; part: string },
  rows: readonly Row[],
  furtherCheck?: (key: string) => Check,
): Promise<number> {
  const entriesPerRow = furtherCheck === undefined ? 2 : 3
  const batchSize = Math.floor(maxTransactionEntries / entriesPerRow)
  let removed = 0
  for (let from = 0; from < rows.length; from += batchSize) {
    const batch = rows.slice(from, from + batchSize)
    const checks = batch.map(({ key, version }): Check => ({ ...place, key, version }))
    const further = new Map<string, Check>()
    for (const { key } of batch) {
      const check = furtherCheck?.(key)
      if (check !== undefined) further.set(check.key, check)
    }
    const writes = batch.map(({ key }) => ({ ...place, key, value: null }))
    const tx = { checks: [...checks, ...further.values()], writes }
    const { committed } = await store.commit(tx, { part: place.part })
    if (committed) removed += batch.length
  }
  return removed
}
