import { RequestError, systemClock } from '@bulrushbridge/errors'
import {
  jobsTable,
  partOf,
  parts,
  progressTable,
  waitingKey,
  waitingTable,
  type Job,
  type Progress,
} from '@bulrushbridge/scheduler'
import {
  createGroupCommitter,
  StoreError,
  wait,
  type GroupCommitter,
  type TableService,
  type Transaction,
} from '@bulrushbridge/store'

/** How long the first job of a group waits for others, in milliseconds. */
const groupWindowMs = 3

/** Writes in one group; with the checks they stay below the 100 entries that the store allows. */
const maxGroupRows = 72

/** Time for one attempt, in milliseconds; a slow store takes some 400. */
const attemptMs = 900

/** Pause between attempts, in milliseconds. */
const retryPauseMs = 80

/** Time for which refused attempts are repeated before the job is refused, in milliseconds. */
const refusedForMs = 250

/** When a caller may come back after the store has refused, in milliseconds. */
export const retryAfterMs = 1_000

/** Stores jobs. */
export interface Acceptor {
  /**
   * Stores a job; returns whether it is new. A repeat of an accepted id changes nothing.
   *
   * @throws RequestError `store-unavailable` when the job is certainly not stored,
   * `acceptance-unknown` when it may be.
   */
  accept(job: Job, deadline: number): Promise<'accepted' | 'known'>
  close(): Promise<void>
}

/**
 * Creates the acceptor. Jobs that arrive together share a transaction.
 *
 * @example
 * const outcome = await acceptor.accept(job, performance.now() + 2_800)
 */
export function createAcceptor(store: TableService): Acceptor {
  const committers = new Map<string, GroupCommitter>(
    parts.map(part => {
      const table = {
        commit: (tx: Transaction, opts: { deadline?: number } = {}) =>
          store.commit(tx, { ...opts, part }),
      }
      const group = { table, windowMs: groupWindowMs, maxRows: maxGroupRows }
      return [part, createGroupCommitter(group)] as const
    }),
  )
  return {
    accept: async (job, deadline) => {
      const committer = committers.get(partOf(job.id))
      if (committer === undefined) throw new RequestError('internal')
      return acceptJob(committer, job, deadline)
    },
    close: async () => {
      await Promise.all([...committers.values()].map(committer => committer.close()))
    },
  }
}

async function acceptJob(
  committer: GroupCommitter,
  job: Job,
  deadline: number,
): Promise<'accepted' | 'known'> {
  const tx = acceptance(job)
  const startedAt = performance.now()
  let mayBeStored = false
  for (;;) {
    const attemptDeadline = Math.min(deadline, performance.now() + attemptMs)
    try {
      const result = await committer.commit(tx, { deadline: attemptDeadline })
      if (result.committed) return 'accepted'
      return mayBeStored ? 'accepted' : 'known'
    } catch (cause) {
      if (cause instanceof StoreError && !cause.settled) mayBeStored = true
      const now = performance.now()
      // A store that refuses is told to the caller soon; a silent one may have stored the job.
      const isOver = mayBeStored ? now + retryPauseMs >= deadline : now - startedAt >= refusedForMs
      if (isOver && mayBeStored) {
        throw new RequestError('acceptance-unknown', { outcome: 'unknown', cause })
      }
      if (isOver) throw new RequestError('store-unavailable', { retryAfterMs, cause })
      await wait(systemClock, retryPauseMs)
    }
  }
}

/** The rows of a new job. The progress row outlives the job, so it tells a repeat from a new id. */
function acceptance(job: Job): Transaction {
  const { id, queue, organisation, schedule } = job
  const part = partOf(id)
  const progress: Progress = {
    status: 'queued',
    queue,
    ...(organisation === undefined ? {} : { organisation }),
  }
  return {
    checks: [{ table: progressTable, part, key: id, version: 0 }],
    writes: [
      { table: jobsTable, part, key: id, value: job },
      { table: progressTable, part, key: id, value: progress },
      ...(schedule === undefined
        ? [{ table: waitingTable, part, key: waitingKey(queue, id), value: 1 }]
        : []),
    ],
  }
}
