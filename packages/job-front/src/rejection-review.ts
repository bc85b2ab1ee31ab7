import type { JobQueue, LoadView } from '@bulrushbridge/scheduler'
import { maxViewAgeMs, workAhead } from './admission-decision.js'

/** Most rejections that are reviewed at once; further ones are counted as `unknown`. */
const maxPending = 1_000

/**
 * What later views show of a rejection.
 *
 * - `could-be-served`: nothing of the organisation waited any more while the job could still have started.
 * - `confirmed`: its work waited until the job could not have started in time.
 * - `unknown`: views were missing, or too many rejections were under review.
 */
export type ReviewVerdict = 'could-be-served' | 'confirmed' | 'unknown'

/** A rejection that is to be reviewed. */
export interface ReviewedRejection {
  queue: Pick<JobQueue, 'name' | 'pool' | 'priority'>
  organisation: string
  /** Latest time at which the job could have started, on the clock of the review. */
  latestStartAt: number
}

/** Review of rejections, which counts those that were mistaken. */
export interface RejectionReview {
  add(rejection: ReviewedRejection): void
  /** Reviews the rejections by a view that has just arrived. */
  applyView(view: LoadView, now: number): void
}

/**
 * Creates a review of rejections. It is generous to the callers: `could-be-served` includes jobs for which there
 * was room only because others were rejected with them.
 *
 * @example
 * const review = createRejectionReview((queue, verdict) => metrics.count(name, { queue, verdict }))
 */
export function createRejectionReview(
  onVerdict: (queue: string, verdict: ReviewVerdict) => void,
): RejectionReview {
  let pending: ReviewedRejection[] = []
  let lastViewAt = Number.NEGATIVE_INFINITY
  return {
    add: rejection => {
      if (pending.length < maxPending) pending.push(rejection)
      else onVerdict(rejection.queue.name, 'unknown')
    },
    applyView: (view, now) => {
      pending = pending.filter(({ queue, organisation, latestStartAt }) => {
        const isOver = now > latestStartAt
        if (!isOver && workAhead(view, queue, organisation) > 0) return true
        const wasSeen = latestStartAt - lastViewAt <= maxViewAgeMs
        if (!isOver) onVerdict(queue.name, 'could-be-served')
        else onVerdict(queue.name, wasSeen ? 'confirmed' : 'unknown')
        return false
      })
      lastViewAt = now
    },
  }
}
