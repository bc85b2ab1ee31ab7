import { normalizeError, systemClock } from '@bulrushbridge/errors'
import {
  hasEnded,
  partNames,
  progressSchema,
  progressTable,
  taskBlocksTable,
} from '@bulrushbridge/scheduler'
import { wait, type Row, type TableService } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'

/** Pause between two removals, in milliseconds. */
const removalPauseMs = 60_000

/** Most rows in one transaction; with a check for each they stay below the store's 100 entries. */
const maxRowsPerTransaction = 45

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
  // Blocks are read before progress: a job whose block is found has a progress row by then.
  const blocks = await store.scan(taskBlocksTable, { part })
  const rows = await store.scan(progressTable, { part })
  const old: Row[] = []
  const unfinished = new Set<string>()
  for (const row of rows) {
    const { data: progress } = progressSchema.safeParse(row.value)
    const isOver = progress !== undefined && hasEnded(progress.status)
    if (!isOver || progress.steps !== undefined) unfinished.add(row.key)
    if (!isOver) continue
    if (wallNow - (progress.endedAt ?? wallNow) > retentionMargin * statusKeptMs) old.push(row)
  }
  const leftBlocks = blocks.filter(({ key }) => !unfinished.has(key.slice(0, key.indexOf('.'))))
  await removeRows(store, { table: progressTable, part }, old)
  await removeRows(store, { table: taskBlocksTable, part }, leftBlocks)
  if (old.length + leftBlocks.length > 0)
    log.info('progress of ended jobs removed', {
      part,
      jobs: old.length,
      blocks: leftBlocks.length,
    })
}

async function removeRows(
  store: TableService,
  place: { table: string; part: string },
  rows: readonly Row[],
): Promise<void> {
  for (let from = 0; from < rows.length; from += maxRowsPerTransaction) {
    const batch = rows.slice(from, from + maxRowsPerTransaction)
    const checks = batch.map(({ key, version }) => ({ ...place, key, version }))
    const writes = batch.map(({ key }) => ({ ...place, key, value: null }))
    await store.commit({ checks, writes }, { part: place.part })
  }
}
