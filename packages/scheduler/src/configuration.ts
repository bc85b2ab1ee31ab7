import type { Amounts } from './amounts.js'

/** Terms of a queue whose policy allows only some runners for a step. */
export interface AdviceTerms {
  decideMs: number
  eachMs: number
  validMs: number
}

/** A queue that accepts jobs. */
export interface Queue {
  name: string
  /** Host name and path prefix that select the queue. */
  hostName: string
  pathPrefix: string
  /** Pool whose runners run the queue's tasks. */
  pool: string
  /** 0 goes first. */
  priority: number
  /** Failed runs of one task after which its job has failed. */
  maxAttempts: number
  /** A job is on time within `stretch` times its longest chain of work and `targetLatencyMs`. */
  stretch: number
  targetLatencyMs: number
  /** Jobs are taken without a key. */
  isOpen: boolean
  advice: AdviceTerms | undefined
}

/** A pool of machines that run the tasks of some queues. */
export interface Pool {
  name: string
  /** Machines of a spare pool are switched off. */
  isSpare: boolean
}

/** A customer that submits jobs with its keys. */
export interface Organisation {
  name: string
  keys: string[]
  /** Share of a full fleet. */
  weight: number
  /** Upper limit over all runners; 0 of a resource means no limit. */
  limit: Amounts
}

/** One version of the operators' configuration. */
export interface Configuration {
  version: number
  queues: Queue[]
  pools: Pool[]
  organisations: Organisation[]
  maxBodyBytes: number
}

/**
 * Finds the queue for a request: its host name and the longest prefix of its path.
 *
 * @example
 * const match = findQueue(cfg, 'finder.example', '/lamps/5c0e7a21d94b36f8')
 */
export function findQueue(cfg: Configuration, hostName: string, path: string): Queue | undefined {
  let best: Queue | undefined
  for (const queue of cfg.queues) {
    if (queue.hostName !== hostName || !path.startsWith(queue.pathPrefix)) continue
    if (best === undefined || queue.pathPrefix.length > best.pathPrefix.length) best = queue
  }
  return best
}
