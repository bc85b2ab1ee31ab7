import { hash } from 'node:crypto'

/**
 * Number of parts over which jobs are distributed. The store runs the transactions of a part one
 * after another, each in 0.3 s while it is slow, and refuses them when those that wait would take
 * more than a second.
 */
export const partCount = 8

/**
 * Table of accepted jobs and of requests to cancel them; entry hosts write it, the dispatcher reads
 * it.
 */
export const acceptedJobsTable = 'jobs'

/**
 * Table of the progress of each job; a row is written at acceptance and later only by the
 * dispatcher.
 */
export const progressTable = 'progress'

/**
 * Table of the progress of tasks, for jobs whose tasks take too much for their row in
 * {@link progressTable}. The key of a row is `<job id>.<occurrence>.<step>.<block>`; the dispatcher
 * writes it.
 */
export const taskBlocksTable = 'blocks'

/**
 * Table of the definitions of jobs that are too large for one row. The key of a row is
 * `<job id>.<number>`, and the row in {@link acceptedJobsTable} has the number of these rows.
 */
export const definitionChunksTable = 'definitions'

/**
 * Table with one row for each queued job, of which no task has begun. The key of the row is
 * `<queue>/<job id>`.
 */
export const queuedJobsTable = 'waiting'

/**
 * Table with one row for each part. Every transaction of the dispatcher checks the version of
 * the part's row and replaces the row, so that a late transaction fails.
 */
export const partHeadsTable = 'heads'

/**
 * Suffix of the key of a request to cancel a job in {@link acceptedJobsTable}. A job id must not contain
 * a dot, so that no key of a job ends with the suffix.
 */
export const cancelSuffix = '.cancel'

/** Names of all parts. */
export const partNames: readonly string[] = Array.from({ length: partCount }, (_, i) => `p${i}`)

/** Returns the part that holds all rows of a job. */
export function partOf(jobId: string): string {
  const digest = hash('sha1', jobId, 'hex')
  return `p${Number.parseInt(digest.slice(0, 8), 16) % partCount}`
}

/** Longest name of a queue that is part of a key, in bytes; the store takes keys of 200 bytes. */
const maxQueueNameBytes = 120

/** Returns the key of a job's row in {@link queuedJobsTable}. */
export function queuedJobKey(queue: string, jobId: string): string {
  return `${queuedJobPrefix(queue)}${jobId}`
}

/** Returns the prefix of the keys of a queue's jobs in {@link queuedJobsTable}. */
export function queuedJobPrefix(queue: string): string {
  const isShort = Buffer.byteLength(queue) <= maxQueueNameBytes
  return `${isShort ? queue : hash('sha256', queue, 'hex')}/`
}
