import {
  acceptedJobsTable,
  cancelSuffix,
  definitionChunksTable,
  progressTable,
  queuedJobKey,
  queuedJobsTable,
  taskBlocksTable,
  type JobExecution,
  type JobStatus,
  type Progress,
} from '@bulrushbridge/scheduler'
import {
  maxTransactionBytes,
  maxTransactionEntries,
  writeBytes,
  type Write,
} from '@bulrushbridge/store'

/** Entries of each transaction beside the rows of jobs: the check and the write of the head row. */
const headEntries = 2

/**
 * The rows that store a job as it was when they were taken. If they do not fit into one transaction,
 * several store them one after another, and the next dispatcher may read the job after any of them,
 * beside rows of its last complete write. After each of them:
 *
 * - A task that has begun is found as begun, and one that is done as done. The own row names the steps
 *   and occurrences that are done, and supersedes their blocks. So a block that says more than the own
 *   row is stored before it, and a block is deleted after the own row that supersedes it.
 * - No task may start once more than its job allows. A job ends for a reason that its blocks show, such
 *   as the failures of a task. So once it has ended its own row comes first; nothing of it starts then,
 *   so that blocks may say less.
 * - What the own row says of the job as a whole agrees with its other tables, because the rows that
 *   depend on each other share a transaction.
 */
export interface JobRows {
  job: JobExecution
  status: JobStatus
  /** Blocks that are written before the own rows. */
  before: Write[]
  /** The job's own row, and the rows that are deleted together with it. */
  own: Write[]
  /** Blocks that are written or deleted after the own rows. */
  after: Write[]
}

/** A transaction with rows of jobs; `completes` lists the jobs of which it stores the last row. */
export interface JobTransaction {
  writes: Write[]
  completes: JobRows[]
}

/** Returns the rows to write for a job; the accepted job is deleted once it has ended. */
export function takeJobRows(job: JobExecution): JobRows {
  const { progress, blocks } = job.takeState()
  const before: Write[] = []
  const after: Write[] = []
  for (const { key, value } of blocks) {
    const write = { table: taskBlocksTable, part: job.part, key: blockRowKey(job, key), value }
    if (value === null || job.hasEnded) after.push(write)
    else before.push(write)
  }
  return { job, status: job.status, before, own: ownRows(job, progress), after }
}

/** Notes that the rows of a job may not be stored as they were taken. */
export function markRowsUnstored({ job, before, after }: JobRows): void {
  const prefixLength = blockRowKey(job, '').length
  job.markUnstored([...before, ...after].map(({ key }) => key.slice(prefixLength)))
}

function blockRowKey({ definition }: JobExecution, blockKey: string): string {
  return `${definition.id}.${blockKey}`
}

function ownRows(job: JobExecution, progress: Progress): Write[] {
  const { id, queue } = job.definition
  const { part } = job
  const rows: Write[] = [{ table: progressTable, part, key: id, value: progress }]
  const remove = (table: string, key: string) => rows.push({ table, part, key, value: null })
  if (job.status !== 'queued' && job.hasQueuedRow) remove(queuedJobsTable, queuedJobKey(queue, id))
  if (job.hasEnded && !job.hasRuns) {
    remove(acceptedJobsTable, id)
    remove(acceptedJobsTable, `${id}${cancelSuffix}`)
    for (let n = 0; n < job.definitionChunks; n++) remove(definitionChunksTable, `${id}.${n}`)
  }
  return rows
}

/**
 * Distributes the rows of jobs over transactions that the store takes. The rows of a job are in one
 * transaction if they fit; otherwise they fill several, in the order that {@link JobRows} asks for.
 *
 * @example
 * for (const { writes } of groupIntoTransactions(jobs.map(takeJobRows))) await commit(writes)
 */
export function groupIntoTransactions(jobs: readonly JobRows[]): JobTransaction[] {
  const transactions: JobTransaction[] = []
  let current: JobTransaction = { writes: [], completes: [] }
  let bytes = 0
  const flush = () => {
    if (current.writes.length > 0) transactions.push(current)
    current = { writes: [], completes: [] }
    bytes = 0
  }
  const makeRoom = (count: number, size: number) => {
    const hasRoom =
      current.writes.length + count <= maxTransactionEntries - headEntries &&
      bytes + size <= maxTransactionBytes
    if (!hasRoom) flush()
  }
  for (const rows of jobs) {
    const { before, own, after } = rows
    const units = [...before.map(row => [row]), own, ...after.map(row => [row])]
    const sizes = units.map(sumBytes)
    const size = sizes.reduce((sum, each) => sum + each, 0)
    makeRoom(before.length + own.length + after.length, size)
    for (const [index, unit] of units.entries()) {
      const unitSize = sizes[index] ?? 0
      makeRoom(unit.length, unitSize)
      current.writes.push(...unit)
      bytes += unitSize
    }
    current.completes.push(rows)
  }
  flush()
  return transactions
}

function sumBytes(rows: readonly Write[]): number {
  return rows.reduce((sum, row) => sum + writeBytes(row), 0)
}
