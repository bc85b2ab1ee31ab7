import { hash } from 'node:crypto'

/** Longest time after which a rejected caller is asked to return, in milliseconds; a burst lasts some 8 s. */
export const maxReturnMs = 30_000

/** Time over which callers whose turn comes at the same time are spread, in milliseconds. */
const spreadMs = 1_000

/** Most queues and organisations whose next turn is kept. */
const maxKeys = 512

/** A rejected job that needs a time to return. */
export interface ReturnRequest {
  /** Queue and organisation of the job. */
  key: string
  /** Id of the job, which decides its place within the spread. */
  id: string
  /** Time after which a job of the organisation can be accepted again, in milliseconds. */
  waitMs: number
  /** Time that the job's work takes at the organisation's rate, in milliseconds. */
  workMs: number
  /** Number of entry hosts, each of which rejects its part of the jobs. */
  hosts: number
  /** Milliseconds of a clock that never goes back. */
  now: number
}

/** Times at which rejected callers are to return. */
export interface ReturnSchedule {
  /** Returns the time after which the caller of a rejected job may return, in milliseconds. */
  next(req: ReturnRequest): number
}

/**
 * Creates the schedule of one entry host. Rejected jobs of a queue and an organisation get turns one after
 * another, each as long as the job's work takes, times the number of hosts, as all of them give out turns. So
 * callers return at the rate at which their work can be done, those first that were rejected first. A caller
 * whose turn would come after {@link maxReturnMs} returns at a time in the second half of it.
 *
 * @example
 * const retryAfterMs = schedule.next({ key, id, waitMs: 800, workMs: 20, hosts: 43, now })
 */
export function createReturnSchedule(): ReturnSchedule {
  /** When the next turn begins, by key; the least recently used key comes first. */
  const nextTurns = new Map<string, number>()
  return {
    next: ({ key, id, waitMs, workMs, hosts, now }) => {
      const turnAt = Math.max(now + waitMs, nextTurns.get(key) ?? 0)
      const delayMs = turnAt - now
      nextTurns.delete(key)
      nextTurns.set(key, Math.min(turnAt + workMs * hosts, now + maxReturnMs))
      const [oldest] = nextTurns.keys()
      if (nextTurns.size > maxKeys && oldest !== undefined) nextTurns.delete(oldest)
      const place = placeOf(id)
      if (delayMs + spreadMs > maxReturnMs) return ((1 + place) * maxReturnMs) / 2
      return delayMs + place * spreadMs
    },
  }
}

/** A number from 0 to below 1 that is the same for each rejection of a job. */
function placeOf(id: string): number {
  return Number.parseInt(hash('sha1', id, 'hex').slice(0, 8), 16) / 2 ** 32
}
