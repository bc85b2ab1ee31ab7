import { normalizeError, systemClock } from '@bulrushbridge/errors'
import { hasEnded, partNames, progressSchema, progressTable } from '@bulrushbridge/scheduler'
import { wait, type TableService } from '@bulrushbridge/store'
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

/** Removes old progress rows of one part; exported for tests. */
export async function removeOldProgress(
  { store, statusKeptMs, log }: ProgressRetentionOptions,
  part: string,
  wallNow: number,
): Promise<void> {
  const rows = await store.scan(progressTable, { part })
  const old = rows.filter(({ value }) => {
    const parsed = progressSchema.safeParse(value)
    if (!parsed.success || !hasEnded(parsed.data.status)) return false
    return wallNow - (parsed.data.endedAt ?? wallNow) > retentionMargin * statusKeptMs
  })
  for (let from = 0; from < old.length; from += maxRowsPerTransaction) {
    const batch = old.slice(from, from + maxRowsPerTransaction)
    const checks = batch.map(({ key, version }) => ({ table: progressTable, part, key, version }))
    const writes = batch.map(({ key }) => ({ table: progressTable, part, key, value: null }))
    await store.commit({ checks, writes }, { part })
  }
  if (old.length > 0) log.info('progress of ended jobs removed', { part, jobs: old.length })
}
