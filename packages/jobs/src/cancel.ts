import { StoreError, type Committer, type Row, type TableService } from '@bulrushbridge/store'
import { jobKey, jobsTable, jobTransition, type Job, type JobState } from './job.js'

/** Jobs changed by one transaction, two rows each. */
const jobsPerTransaction = 100

/** Reads under way at once while ids are looked up. */
const parallelReads = 8

/** Attempts for jobs that change while they are being cancelled. */
const attempts = 6

/** What a cancellation did to each job. */
export interface Cancelled {
  /** Will never run. */
  cancelled: string[]
  /** Had started; its worker is told to stop it. */
  cancelling: string[]
  /** Had ended, or was being cancelled already. */
  unchanged: string[]
  /** No such job of this team. */
  unknown: string[]
  /** Not settled, because the storage failed or the job kept changing; repeat the call for these. */
  unsettled: string[]
}

/** The state that a cancellation gives to a job in each state. */
const cancelledState: Partial<Record<JobState, JobState>> = {
  queued: 'cancelled',
  parked: 'cancelled',
  starting: 'cancelling',
  running: 'cancelling',
}

/** A cancellation's result without any job. */
export function nothingCancelled(): Cancelled {
  return { cancelled: [], cancelling: [], unchanged: [], unknown: [], unsettled: [] }
}

/** Where jobs are read and changed. */
export interface JobStorage {
  table: TableService
  committer: Committer
}

/** Cancels jobs by id, in groups; repeating it is harmless. */
export async function cancelIds(
  storage: JobStorage,
  team: string,
  ids: string[],
): Promise<Cancelled> {
  const result = nothingCancelled()
  let left = [...new Set(ids)]
  for (let attempt = 0; left.length > 0 && attempt < attempts; attempt++) {
    const rows = await readJobs(storage, team, left, result)
    left = await cancelRows(storage, rows, result)
  }
  result.unsettled.push(...left)
  return result
}

/** Cancels jobs whose rows were just read; returns the ids of those that had changed since. */
export async function cancelRows(
  storage: JobStorage,
  rows: Row<Job>[],
  result: Cancelled,
): Promise<string[]> {
  const open: { row: Row<Job>; to: JobState }[] = []
  for (const row of rows) {
    const to = cancelledState[row.value.state]
    if (to === undefined) result.unchanged.push(row.value.id)
    else open.push({ row, to })
  }
  const changed: string[] = []
  for (let at = 0; at < open.length; at += jobsPerTransaction) {
    changed.push(...(await cancelGroup(storage, open.slice(at, at + jobsPerTransaction), result)))
  }
  return changed
}

async function cancelGroup(
  storage: JobStorage,
  group: { row: Row<Job>; to: JobState }[],
  result: Cancelled,
): Promise<string[]> {
  const changed: string[] = []
  let left = group
  while (left.length > 0) {
    const parts = left.map(({ row, to }) => jobTransition(row, to))
    const checks = parts.flatMap(part => part.checks)
    const writes = parts.flatMap(part => part.writes)
    try {
      const outcome = await storage.committer.commit({ checks, writes })
      if (outcome.committed) {
        for (const { row, to } of left) {
          ;(to === 'cancelled' ? result.cancelled : result.cancelling).push(row.value.id)
        }
        return changed
      }
      const failed = new Set(outcome.failed.map(check => check.key))
      changed.push(...left.filter(({ row }) => failed.has(row.key)).map(({ row }) => row.value.id))
      const others = left.filter(({ row }) => !failed.has(row.key))
      if (others.length === left.length) throw new StoreError('no check of the group failed')
      left = others
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      result.unsettled.push(...left.map(({ row }) => row.value.id))
      return changed
    }
  }
  return changed
}

/** Reads jobs by id with bounded parallelism; missing and unreadable ones go to the result. */
async function readJobs(
  { table }: JobStorage,
  team: string,
  ids: string[],
  result: Cancelled,
): Promise<Row<Job>[]> {
  const rows: Row<Job>[] = []
  const waiting = ids.values()
  const readNext = async () => {
    for (const id of waiting) {
      try {
        const row = await table.read<Job>(jobsTable, jobKey(team, id))
        if (row === undefined) result.unknown.push(id)
        else rows.push(row)
      } catch (err) {
        if (!(err instanceof StoreError)) throw err
        result.unsettled.push(id)
      }
    }
  }
  await Promise.all(Array.from({ length: parallelReads }, readNext))
  return rows
}
