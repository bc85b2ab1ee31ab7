import { hash } from 'node:crypto'

/**
 * Parts over which jobs are spread. Each runs its transactions one after another, in 0.3 s while the
 * store is slow, and refuses them when more than a second of them waits.
 */
export const partCount = 8

/** Accepted jobs and requests to cancel them; written by entry hosts, read by the dispatcher. */
export const jobsTable = 'jobs'

/** Progress of each job; written at its acceptance and then by the dispatcher only. */
export const progressTable = 'progress'

/** One empty row for each job of which no task has begun, key `<queue>/<job id>`. */
export const waitingTable = 'waiting'

/** One row a part, which every transaction of the dispatcher checks and replaces. */
export const headsTable = 'heads'

/** Suffix of the key of a cancellation in {@link jobsTable}. */
export const cancelSuffix = '.cancel'

/** Names of all parts. */
export const parts: readonly string[] = Array.from({ length: partCount }, (_, i) => `p${i}`)

/** The part that holds all rows of a job. */
export function partOf(jobId: string): string {
  const digest = hash('sha1', jobId, 'hex')
  return `p${Number.parseInt(digest.slice(0, 8), 16) % partCount}`
}

/** Key of a job's row in {@link waitingTable}. */
export function waitingKey(queue: string, jobId: string): string {
  return `${queue}/${jobId}`
}
