import type { Check, Row, Write } from '@bulrushbridge/store'

/**
 * Table of jobs, key `<team>/<job id>`. The id starts with the queue, so the jobs of one queue form
 * a range of keys.
 */
export const storedJobsTable = 'jobs'

/**
 * Table of payloads, with the same keys as `jobs`. Payloads have a table of their own so that lists
 * and state changes do not transfer them.
 */
export const payloadsTable = 'job-payloads'

/** Table of queued jobs, key `<queue>/<0 urgent, 1 other>/<time and random part of the id>`. */
export const queuedTable = 'jobs-queued'

/**
 * Table of jobs being cancelled, key `<queue>/<job id>`. With it the placement duty, which assigns
 * jobs to workers, finds these jobs without reading all jobs.
 */
export const cancellingTable = 'jobs-cancelling'

/** Table of accepted idempotency keys, key `<team>/<queue>/<idempotency key>`. */
export const idempotencyKeysTable = 'job-keys'

/** States of a job. A `lost` job may have run and must not run again. */
export const storedJobStates = [
  'queued',
  'starting',
  'running',
  'cancelling',
  'cancelled',
  'finished',
  'failed',
  'parked',
  'lost',
] as const

/** One of {@link storedJobStates}. */
export type StoredJobState = (typeof storedJobStates)[number]

/** States that may follow each state. Final states have no successor. */
const allowedTransitions: Record<StoredJobState, readonly StoredJobState[]> = {
  queued: ['starting', 'cancelled', 'parked'],
  starting: ['running', 'queued', 'cancelling', 'finished', 'failed', 'parked', 'lost'],
  running: ['cancelling', 'finished', 'failed', 'queued', 'parked', 'lost'],
  cancelling: ['cancelled', 'finished', 'failed', 'lost'],
  parked: ['queued', 'cancelled'],
  cancelled: [],
  finished: [],
  failed: [],
  lost: [],
}

/** Resources that a job requests. `runMs` is the run time that the submitter expects. */
export interface RequestedResources {
  cpus: number
  memoryMb: number
  accelerators: number
  runMs: number
}

/** A stored job. */
export interface StoredJob {
  id: string
  team: string
  queue: string
  state: StoredJobState
  idempotent: boolean
  urgent: boolean
  request: RequestedResources
  /** Name of the job's kind. Jobs of one kind have similar sizes and run times. */
  kind: string
  /** Racks on whose workers the job has failed. */
  failedRacks?: string[]
  /** Number of workers that were lost without notice under the job since its last long run. */
  workerLosses?: number
  /** State that the job saved when it was last removed from a worker. */
  checkpoint?: unknown
  /** Name of the entry host that accepted the job. */
  member: string
  /** Wall-clock time of the acceptance in milliseconds. */
  acceptedAt: number
  /** Wall-clock time of the end in milliseconds. */
  endedAt?: number
  /** Why a parked, failed or lost job is in its state. */
  reason?: string
}

/** Value of a row in `jobs-queued`: the fields that placement needs to choose a worker. */
export type QueuedJob = Pick<
  StoredJob,
  | 'id'
  | 'team'
  | 'queue'
  | 'idempotent'
  | 'urgent'
  | 'request'
  | 'kind'
  | 'failedRacks'
  | 'workerLosses'
  | 'acceptedAt'
>

/** Percent-encodes a part of a key, including `.` and `/`, which separate the parts. */
export function encodeKeyPart(text: string): string {
  return encodeURIComponent(text).replaceAll('.', '%2E')
}

/** Key of a job's row. */
export function jobKey(team: string, id: string): string {
  return `${encodeKeyPart(team)}/${id}`
}

/**
 * Key range of a queue's queued jobs: first the urgent jobs, then the others, each oldest first.
 */
export function queuedRange(queue: string): { from: string; to: string } {
  // "0" follows "/" in character order, so the range ends after the last key of the queue.
  return { from: `${encodeKeyPart(queue)}/`, to: `${encodeKeyPart(queue)}0` }
}

/** Key of a job's row in `jobs-queued`. */
export function queuedKey(job: Pick<StoredJob, 'queue' | 'urgent' | 'id'>): string {
  const timeAndRandom = job.id.slice(job.id.lastIndexOf('.') + 1)
  return `${encodeKeyPart(job.queue)}/${job.urgent ? 0 : 1}/${timeAndRandom}`
}

/**
 * Key of a job's row in `jobs-cancelling`. The result of {@link queuedRange} is also the key range
 * of a queue in this table.
 */
export function cancellingKey(job: Pick<StoredJob, 'queue' | 'id'>): string {
  return `${encodeKeyPart(job.queue)}/${job.id}`
}

/** Write that adds a job to `jobs-queued`. */
export function queuedRowWrite(job: StoredJob): Write {
  const { id, team, queue, idempotent, urgent, request, kind, acceptedAt } = job
  const { failedRacks, workerLosses } = job
  const value: QueuedJob = {
    id,
    team,
    queue,
    idempotent,
    urgent,
    request,
    kind,
    acceptedAt,
    ...(failedRacks === undefined ? {} : { failedRacks }),
    ...(workerLosses === undefined ? {} : { workerLosses }),
  }
  return { table: queuedTable, key: queuedKey(job), value }
}

/** Whether a job may change from one state to the other. */
export function isTransitionAllowed(from: StoredJobState, to: StoredJobState): boolean {
  return allowedTransitions[from].includes(to)
}

/**
 * Returns the checks and writes of a transaction that changes a job's state together with its rows
 * in `jobs-queued` and `jobs-cancelling`. The check on the job's version ensures that of a claim
 * and a concurrent cancellation only one is committed. Throws a RangeError when the transition is
 * not allowed, or when a non-idempotent job that has run would run again.
 *
 * @example
 * const { checks, writes } = jobTransition(row, 'starting')
 * await table.commit({ checks: [held.check, ...checks], writes: [...writes, task] })
 */
export function jobTransition(
  row: Row<StoredJob>,
  to: StoredJobState,
  reason?: string,
  changes: Pick<StoredJob, 'failedRacks' | 'workerLosses' | 'checkpoint'> = {},
): { checks: Check[]; writes: Write[] } {
  const job = row.value
  const from = job.state
  const isRerun = from === 'running' && (to === 'queued' || to === 'parked')
  if (!isTransitionAllowed(from, to) || (isRerun && !job.idempotent)) {
    throw new RangeError(`a job cannot change from state ${from} to state ${to}`)
  }
  const next: StoredJob = { ...job, ...changes, state: to }
  delete next.reason
  if (reason !== undefined) next.reason = reason
  if (allowedTransitions[to].length === 0) next.endedAt = Date.now()
  const writes: Write[] = [{ table: storedJobsTable, key: row.key, value: next }]
  if (from === 'queued') writes.push({ table: queuedTable, key: queuedKey(job), value: null })
  const cancellingRow = { table: cancellingTable, key: cancellingKey(job) }
  if (from === 'cancelling') writes.push({ ...cancellingRow, value: null })
  if (to === 'cancelling') writes.push({ ...cancellingRow, value: { job: row.key } })
  if (to === 'queued') writes.push(queuedRowWrite(next))
  return { checks: [{ table: storedJobsTable, key: row.key, version: row.version }], writes }
}
