import { StoreError, type Committer, type Row, type TableService } from '@bulrushbridge/store'
import {
  jobKey,
  storedJobsTable,
  jobTransition,
  type StoredJob,
  type StoredJobState,
} from './job.js'

/** Most jobs that one transaction cancels. Each job changes at most two rows. */
const maxJobsPerTransaction = 100

/** Most concurrent reads while jobs are looked up by id. */
const maxParallelReads = 8

/** Attempts to cancel a job whose row another writer keeps changing. */
const maxCancelAttempts = 6

/** Result of a cancellation: the ids of the jobs, grouped by what happened to each. */
export interface CancelResult {
  /** Jobs that had not started and will never run. */
  cancelled: string[]
  /** Jobs that had started; their workers are ordered to stop them. */
  cancelling: string[]
  /** Jobs that had ended or were already being cancelled. */
  unchanged: string[]
  /** Ids for which the team has no job. */
  unknown: string[]
  /**
   * Jobs whose cancellation was not confirmed, because the store failed or the job kept changing.
   * The caller repeats the call for these ids.
   */
  unsettled: string[]
}

/** State of a job after a cancellation, by its state before. Other states do not change. */
const stateAfterCancel: Partial<Record<StoredJobState, StoredJobState>> = {
  queued: 'cancelled',
  parked: 'cancelled',
  starting: 'cancelling',
  running: 'cancelling',
}

/** Creates a result that contains no job. */
export function emptyCancelResult(): CancelResult {
  return { cancelled: [], cancelling: [], unchanged: [], unknown: [], unsettled: [] }
}

/** Where jobs are read from, and through which changes to them are committed. */
export interface JobStorage {
  table: TableService
  committer: Committer
}

/** Cancels jobs by id, in groups. The call is idempotent, so it may be repeated. */
export async function cancelJobsById(
  storage: JobStorage,
  team: string,
  ids: string[],
): Promise<CancelResult> {
  const result = emptyCancelResult()
  let remaining = [...new Set(ids)]
  for (let attempt = 0; remaining.length > 0 && attempt < maxCancelAttempts; attempt++) {
    const rows = await readJobs(storage, team, remaining, result)
    remaining = await cancelJobRows(storage, rows, result)
  }
  result.unsettled.push(...remaining)
  return result
}

/**
 * Cancels jobs whose rows were just read. Returns the ids of the jobs that changed after the read
 * and were not cancelled; the caller reads these again.
 */
export async function cancelJobRows(
  storage: JobStorage,
  rows: Row<StoredJob>[],
  result: CancelResult,
): Promise<string[]> {
  const cancellable: { row: Row<StoredJob>; to: StoredJobState }[] = []
  for (const row of rows) {
    const to = stateAfterCancel[row.value.state]
    if (to === undefined) result.unchanged.push(row.value.id)
    else cancellable.push({ row, to })
  }
  const changedIds: string[] = []
  for (let start = 0; start < cancellable.length; start += maxJobsPerTransaction) {
    changedIds.push(
      ...(await cancelJobGroup(
        storage,
        cancellable.slice(start, start + maxJobsPerTransaction),
        result,
      )),
    )
  }
  return changedIds
}

/**
 * Cancels one group in a transaction. When checks fail because some jobs have changed, commits the
 * other jobs again without these. Returns the ids of the changed jobs.
 */
async function cancelJobGroup(
  storage: JobStorage,
  group: { row: Row<StoredJob>; to: StoredJobState }[],
  result: CancelResult,
): Promise<string[]> {
  const changedIds: string[] = []
  let remaining = group
  while (remaining.length > 0) {
    const transitions = remaining.map(({ row, to }) => jobTransition(row, to))
    const checks = transitions.flatMap(transition => transition.checks)
    const writes = transitions.flatMap(transition => transition.writes)
    try {
      const outcome = await storage.committer.commit({ checks, writes })
      if (outcome.committed) {
        for (const { row, to } of remaining) {
          ;(to === 'cancelled' ? result.cancelled : result.cancelling).push(row.value.id)
        }
        return changedIds
      }
      const failedKeys = new Set(outcome.failed.map(check => check.key))
      changedIds.push(
        ...remaining.filter(({ row }) => failedKeys.has(row.key)).map(({ row }) => row.value.id),
      )
      const unchangedJobs = remaining.filter(({ row }) => !failedKeys.has(row.key))
      if (unchangedJobs.length === remaining.length)
        throw new StoreError('the transaction was rejected although none of its checks failed')
      remaining = unchangedJobs
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      result.unsettled.push(...remaining.map(({ row }) => row.value.id))
      return changedIds
    }
  }
  return changedIds
}

/**
 * Reads jobs by id with bounded concurrency. Adds the ids of missing jobs to `result.unknown` and
 * those of jobs that could not be read to `result.unsettled`.
 */
async function readJobs(
  { table }: JobStorage,
  team: string,
  ids: string[],
  result: CancelResult,
): Promise<Row<StoredJob>[]> {
  const rows: Row<StoredJob>[] = []
  const pendingIds = ids.values()
  const readNext = async () => {
    for (const id of pendingIds) {
      try {
        const row = await table.read<StoredJob>(storedJobsTable, jobKey(team, id))
        if (row === undefined) result.unknown.push(id)
        else rows.push(row)
      } catch (err) {
        if (!(err instanceof StoreError)) throw err
        result.unsettled.push(id)
      }
    }
  }
  await Promise.all(Array.from({ length: maxParallelReads }, readNext))
  return rows
}
