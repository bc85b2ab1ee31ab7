import { RequestError } from '@bulrushbridge/errors'
import {
  encodeDefinition,
  maxDefinitionBytes,
  partOf,
  partNames,
  noQueue,
  progressSchema,
  progressTable,
  queuedJobKey,
  queuedJobsTable,
  type JobDefinition,
  type Progress,
} from '@bulrushbridge/scheduler'
import {
  createGroupCommitter,
  maxTransactionBytes,
  type GroupCommitter,
  type TableService,
  type Transaction,
} from '@bulrushbridge/store'
import { retryWrite } from './write-retries.js'

/** How long the first job of a group waits for others, in milliseconds. */
const groupWindowMs = 3

/**
 * Most writes in one group; with its checks it must stay below the store's limit of 100 entries.
 */
const maxGroupWrites = 72

/** Accepts jobs by storing them. */
export interface JobAcceptor {
  /**
   * Stores a job and returns `accepted`. Returns `known`, and changes nothing, when a job with the
   * same id has been stored before.
   *
   * @throws RequestError `store-unavailable` when the job is certainly not stored,
   * `acceptance-unknown` when it may be stored, `job-cancelled` when it was cancelled before,
   * `job-limit-exceeded` and `job-not-storable` when it can't be stored at all.
   */
  accept(job: JobDefinition, deadline: number): Promise<'accepted' | 'known'>
  close(): Promise<void>
}

/**
 * Creates the acceptor of jobs. Jobs that arrive within a few milliseconds share a transaction.
 *
 * @example
 * const outcome = await acceptor.accept(job, performance.now() + 2_800)
 */
export function createJobAcceptor(store: TableService): JobAcceptor {
  const committers = new Map<string, GroupCommitter>(
    partNames.map(part => {
      const table = {
        commit: (tx: Transaction, opts: { deadline?: number } = {}) =>
          store.commit(tx, { ...opts, part }),
      }
      const group = {
        table,
        windowMs: groupWindowMs,
        maxRows: maxGroupWrites,
        maxBytes: maxTransactionBytes,
      }
      return [part, createGroupCommitter(group)] as const
    }),
  )
  return {
    accept: async (job, deadline) => {
      const committer = committers.get(partOf(job.id))
      if (committer === undefined) throw new RequestError('internal')
      return acceptJob({ committer, store }, job, deadline)
    },
    close: async () => {
      await Promise.all([...committers.values()].map(committer => committer.close()))
    },
  }
}

async function acceptJob(
  { committer, store }: { committer: GroupCommitter; store: TableService },
  job: JobDefinition,
  deadline: number,
): Promise<'accepted' | 'known'> {
  const tx = createAcceptTransaction(job)
  return retryWrite(deadline, async (attemptDeadline, state) => {
    const result = await committer.commit(tx, { deadline: attemptDeadline })
    if (result.committed) return 'accepted'
    const outcome = state.mayBeStored ? 'accepted' : 'known'
    // The row that failed the check may be this job's, until it is read.
    state.mayBeStored = true
    if (!(await wasCancelledBefore(store, job.id, deadline))) return outcome
    throw new RequestError('job-cancelled')
  })
}

/** Whether a job was cancelled before it was stored. */
async function wasCancelledBefore(
  store: TableService,
  id: string,
  deadline: number,
): Promise<boolean> {
  const row = await store.read(progressTable, id, { part: partOf(id), deadline })
  const progress = progressSchema.safeParse(row?.value)
  return progress.success && progress.data.queue === noQueue
}

/**
 * Creates the transaction that stores a new job. It fails when the id has a progress row: that row
 * is kept longer than the job's, so it also identifies a repeated id after the job has ended.
 */
function createAcceptTransaction(job: JobDefinition): Transaction {
  const { id, queue, organisation, schedule } = job
  const part = partOf(id)
  const definition = encodeDefinition(job)
  if (definition === undefined) {
    const message = `A job may take ${maxDefinitionBytes} bytes as JSON; this one takes more.`
    throw new RequestError('job-limit-exceeded', { message })
  }
  const progress: Progress = {
    status: 'queued',
    queue,
    ...(organisation === undefined ? {} : { organisation }),
  }
  return {
    checks: [{ table: progressTable, part, key: id, version: 0 }],
    writes: [
      ...definition.map(row => ({ ...row, part })),
      { table: progressTable, part, key: id, value: progress },
      ...(schedule === undefined
        ? [{ table: queuedJobsTable, part, key: queuedJobKey(queue, id), value: 1 }]
        : []),
    ],
  }
}
