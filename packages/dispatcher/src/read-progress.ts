import {
  hasEnded,
  partNames,
  progressSchema,
  maxExcessMs,
  progressTable,
  taskBlocksTable,
  type GuaranteedWork,
  type Progress,
  type StoredBlock,
} from '@bulrushbridge/scheduler'
import type { FollowableTableService } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'
import type { StoredProgress } from './job-loader.js'

/** Progress of jobs that an earlier dispatcher stored, by job. */
export type EarlierProgress = Map<
  string,
  Pick<StoredProgress, 'progress'> & { blocks: StoredBlock[] }
>

/**
 * Reads the progress of all jobs that have not ended for good, row by row, so that the rows of ended
 * jobs take no memory. Of ended jobs, only their acceptance is noted, if it still matters at
 * `wallNow` (Unix milliseconds).
 *
 * @example
 * await readProgress({ store, log }, earlierProgress, guaranteed)
 */
export async function readProgress(
  { store, log }: { store: FollowableTableService; log: Logger },
  found: EarlierProgress,
  guaranteed: GuaranteedWork,
  wallNow = Date.now(),
): Promise<void> {
  found.clear()
  const invalid: string[] = []
  const since = wallNow - maxExcessMs
  await store.snapshotPages(progressTable, partNames, rows => {
    for (const { key, value } of rows) {
      const { data: progress } = progressSchema.safeParse(value)
      if (progress === undefined) {
        invalid.push(key)
        continue
      }
      const { organisation, acceptedAt } = progress
      if (acceptedAt !== undefined && acceptedAt > since)
        guaranteed.noteAccepted({ id: key, organisation, acceptedAt })
      if (isNeeded(progress)) found.set(key, { progress, blocks: [] })
    }
  })
  await store.snapshotPages(taskBlocksTable, partNames, rows => {
    for (const { key, value } of rows) {
      const dot = key.indexOf('.')
      const stored = found.get(key.slice(0, dot))
      // Blocks without a job are left over from one that has ended.
      if (stored === undefined) continue
      stored.blocks.push({ key: key.slice(dot + 1), value })
    }
  })
  for (const job of invalid) log.error('stored job progress has an invalid format', { job })
}

/** An ended job whose tasks are not stored has no runs, and its definition has been deleted. */
function isNeeded({ status, occurrences, steps }: Progress): boolean {
  return !hasEnded(status) || occurrences !== undefined || steps !== undefined
}
