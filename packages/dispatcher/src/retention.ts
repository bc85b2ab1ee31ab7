import { normalizeError, systemClock } from '@bulrushbridge/errors'
import { isFinal, parts, progressSchema, progressTable } from '@bulrushbridge/scheduler'
import { wait, type TableService } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'

/** Pause between two sweeps, in milliseconds. */
const sweepPauseMs = 60_000

/** Rows removed in one transaction; with their checks they stay below the store's 100 entries. */
const rowsPerRemoval = 45

/** Factor on the time for which the state of an ended job is kept, for clocks that differ. */
const keptMargin = 1.5

/** Options of {@link createRetention}. */
export interface RetentionOptions {
  store: TableService
  /** How long the state of an ended job can be asked for, in milliseconds. */
  statusKeptMs: number
  log: Logger
}

/** Removes the progress of jobs that ended long ago. */
export interface Retention {
  close(): Promise<void>
}

/** Starts the removal. */
export function createRetention(opts: RetentionOptions): Retention {
  const closing = new AbortController()
  const run = async () => {
    for (;;) {
      await wait(systemClock, sweepPauseMs, closing.signal)
      if (closing.signal.aborted) return
      try {
        for (const part of parts) await sweepPart(opts, part, Date.now())
      } catch (err) {
        opts.log.warn('old progress not removed', { reason: normalizeError(err).message })
      }
    }
  }
  const running = run()
  return {
    close: async () => {
      closing.abort()
      await running
    },
  }
}

/** Removes what is old in one part; exported for tests. */
export async function sweepPart(
  { store, statusKeptMs, log }: RetentionOptions,
  part: string,
  wallNow: number,
): Promise<void> {
  const rows = await store.scan(progressTable, { part })
  const old = rows.filter(({ value }) => {
    const parsed = progressSchema.safeParse(value)
    if (!parsed.success || !isFinal(parsed.data.status)) return false
    return wallNow - (parsed.data.endedAt ?? wallNow) > keptMargin * statusKeptMs
  })
  for (let from = 0; from < old.length; from += rowsPerRemoval) {
    const batch = old.slice(from, from + rowsPerRemoval)
    const checks = batch.map(({ key, version }) => ({ table: progressTable, part, key, version }))
    const writes = batch.map(({ key }) => ({ table: progressTable, part, key, value: null }))
    await store.commit({ checks, writes }, { part })
  }
  if (old.length > 0) log.info('old progress removed', { part, jobs: old.length })
}
