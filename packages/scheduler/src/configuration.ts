import type { Amounts } from './amounts.js'

/** Times that apply to a queue whose advice service allows only some runners for each step. */
export interface AdviceTerms {
  /** Neither the scheduler nor the dispatcher uses `decideMs` and `eachMs`. */
  decideMs: number
  eachMs: number
  /** How long a ticket of the service is valid, in milliseconds. */
  validMs: number
}

/** A queue that accepts jobs. */
export interface JobQueue {
  name: string
  /** Host name and path prefix that select the queue. */
  hostName: string
  pathPrefix: string
  /** Pool whose runners run the queue's tasks. */
  pool: string
  /** Queues with a lower number go first. */
  priority: number
  /**
   * Number of failed runs of one task after which its job fails. Only runs that ended as `failed`
   * count.
   */
  maxAttempts: number
  /**
   * A job is on time if it takes at most `stretch` times its critical path plus `targetLatencyMs`.
   * The sum is the latency objective of the job.
   */
  stretch: number
  targetLatencyMs: number
  /** Whether jobs are accepted without a key. */
  isAnonymousAllowed: boolean
  advice: AdviceTerms | undefined
}

/** A pool of machines that run the tasks of some queues. */
export interface RunnerPool {
  name: string
  /** Machines of a spare pool are switched off. */
  isSpare: boolean
}

/** A customer that submits jobs with its keys. */
export interface Organisation {
  name: string
  keys: string[]
  /**
   * Jobs a second that are guaranteed, and relative share of a pool when it is full; 0 means neither.
   */
  weight: number
  /** Upper limit over all runners; 0 of a resource means no limit. */
  limit: Amounts
}

/** One version of the operators' configuration. */
export interface SchedulerConfiguration {
  version: number
  queues: JobQueue[]
  pools: RunnerPool[]
  organisations: Organisation[]
  maxBodyBytes: number
}

/**
 * Finds the queue for a request: the one with its host name and the longest matching path prefix.
 *
 * @example
 * const queue = findQueue(cfg, 'finder.example', '/lamps/5c0e7a21d94b36f8')
 */
export function findQueue(
  cfg: SchedulerConfiguration,
  hostName: string,
  path: string,
): JobQueue | undefined {
  let best: JobQueue | undefined
  for (const queue of cfg.queues) {
    if (queue.hostName !== hostName || !path.startsWith(queue.pathPrefix)) continue
    if (best === undefined || queue.pathPrefix.length > best.pathPrefix.length) best = queue
  }
  return best
}
