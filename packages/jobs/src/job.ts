import type { Check, Row, Write } from '@bulrushbridge/store'

/** Jobs, key `<team>/<job id>`; the id starts with the queue, so a queue is a range of keys. */
export const jobsTable = 'jobs'

/** Payloads, key as in `jobs`; apart, so that lists and state changes do not carry them. */
export const payloadsTable = 'job-payloads'

/** Queued jobs, key `<queue>/<0 urgent, 1 other>/<time and random part of the id>`. */
export const queuedTable = 'jobs-queued'

/** Jobs being cancelled, key `<queue>/<job id>`, so that the placement duty need not read all jobs. */
export const cancellingTable = 'jobs-cancelling'

/** Jobs by idempotency key, key `<team>/<queue>/<idempotency key>`. */
export const jobKeysTable = 'job-keys'

/** What a job may be; `lost` may have run and must not run again. */
export const jobStates = [
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

/** One of {@link jobStates}. */
export type JobState = (typeof jobStates)[number]

/** The states that may follow each state; the final ones have none. */
const nextStates: Record<JobState, readonly JobState[]> = {
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

/** What a job asks for; `runMs` is the submitter's guess. */
export interface JobRequest {
  cpus: number
  memoryMb: number
  accelerators: number
  runMs: number
}

/** A stored job. */
export interface Job {
  id: string
  team: string
  queue: string
  state: JobState
  idempotent: boolean
  urgent: boolean
  request: JobRequest
  /** Name of the job's kind; jobs of one kind resemble each other in size and run time. */
  kind: string
  /** Racks on whose workers the job has failed. */
  failedRacks?: string[]
  /** What the job saved when it was last taken off a worker. */
  checkpoint?: unknown
  /** Name of the entry host that accepted the job. */
  member: string
  /** Wall clock in milliseconds. */
  acceptedAt: number
  /** Wall clock of its end in milliseconds. */
  endedAt?: number
  /** Why the job is in its state, for parked, failed and lost jobs. */
  reason?: string
}

/** Value of a row in `jobs-queued`: all that placement needs to choose a worker. */
export type QueuedJob = Pick<
  Job,
  | 'id'
  | 'team'
  | 'queue'
  | 'idempotent'
  | 'urgent'
  | 'request'
  | 'kind'
  | 'failedRacks'
  | 'acceptedAt'
>

/** Percent-encodes a part of a key; `.` and `/` separate parts. */
export function keyPart(text: string): string {
  return encodeURIComponent(text).replaceAll('.', '%2E')
}

/** Key of a job's row. */
export function jobKey(team: string, id: string): string {
  return `${keyPart(team)}/${id}`
}

/** Range of the queued jobs of a queue; urgent jobs come first, then by age. */
export function queuedRange(queue: string): { from: string; to: string } {
  // "0" is the character after "/".
  return { from: `${keyPart(queue)}/`, to: `${keyPart(queue)}0` }
}

/** Key of a job's row in `jobs-queued`. */
export function queuedKey(job: Pick<Job, 'queue' | 'urgent' | 'id'>): string {
  const order = job.id.slice(job.id.lastIndexOf('.') + 1)
  return `${keyPart(job.queue)}/${job.urgent ? 0 : 1}/${order}`
}

/** Key of a job's row in `jobs-cancelling`; {@link queuedRange} gives the range of a queue. */
export function cancellingKey(job: Pick<Job, 'queue' | 'id'>): string {
  return `${keyPart(job.queue)}/${job.id}`
}

/** The write that lists a job as queued. */
export function queuedWrite(job: Job): Write {
  const { id, team, queue, idempotent, urgent, request, kind, failedRacks, acceptedAt } = job
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
  }
  return { table: queuedTable, key: queuedKey(job), value }
}

/** True when a job may go from one state to the other. */
export function mayBecome(from: JobState, to: JobState): boolean {
  return nextStates[from].includes(to)
}

/**
 * The parts of a transaction that changes a job's state and the list of queued jobs with it. The
 * check on the job's version makes a claim and a cancellation exclude each other. Throws RangeError
 * when the change is not allowed, and for a non-idempotent job that has run and would run again.
 *
 * @example
 * const { checks, writes } = jobTransition(row, 'starting')
 * await table.commit({ checks: [held.check, ...checks], writes: [...writes, task] })
 */
export function jobTransition(
  row: Row<Job>,
  to: JobState,
  reason?: string,
  changes: Pick<Job, 'failedRacks' | 'checkpoint'> = {},
): { checks: Check[]; writes: Write[] } {
  const job = row.value
  const from = job.state
  const runsAgain = from === 'running' && (to === 'queued' || to === 'parked')
  if (!mayBecome(from, to) || (runsAgain && !job.idempotent)) {
    throw new RangeError(`a job cannot go from ${from} to ${to}`)
  }
  const next: Job = { ...job, ...changes, state: to }
  delete next.reason
  if (reason !== undefined) next.reason = reason
  if (nextStates[to].length === 0) next.endedAt = Date.now()
  const writes: Write[] = [{ table: jobsTable, key: row.key, value: next }]
  if (from === 'queued') writes.push({ table: queuedTable, key: queuedKey(job), value: null })
  const cancellation = { table: cancellingTable, key: cancellingKey(job) }
  if (from === 'cancelling') writes.push({ ...cancellation, value: null })
  if (to === 'cancelling') writes.push({ ...cancellation, value: { job: row.key } })
  if (to === 'queued') writes.push(queuedWrite(next))
  return { checks: [{ table: jobsTable, key: row.key, version: row.version }], writes }
}
