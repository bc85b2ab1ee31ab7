/** Fewest starts in one pass, so that a slow dispatcher still makes progress. */
const minStarts = 4

/** Most starts in one pass; more follow in the next pass, after other work had its turn. */
const maxStarts = 200

/**
 * Delay of a pass, in milliseconds, above which the event loop counts as overloaded; a tenth of the
 * lifetime of the dispatcher's lease, which must be renewed meanwhile.
 */
const overloadedDelayMs = 200

/** Delay of a pass below which it may start more than the one before, in milliseconds. */
const timelyDelayMs = 50

const shrinkFactor = 0.5
const growFactor = 1.2

/** Limits the starts of a placement pass by what the dispatcher's event loop can carry. */
export interface StartLimit {
  /** Returns the most starts of a pass that begins `delayMs` after it was due. */
  next(delayMs: number): number
}

/**
 * Creates the limit of a term. Each start makes work that the event loop does later: its order, its
 * confirmation, its end and their transactions. A dispatcher that begins more than it can carry is
 * late with everything, even with the renewals of its lease, and the next holder would meet the same
 * work and fail in the same way.
 *
 * @example
 * const limit = createStartLimit()
 * const starts = chooseStarts({ ...input, maxStarts: limit.next(startedAt - dueAt) })
 */
export function createStartLimit(): StartLimit {
  let starts = maxStarts
  return {
    next: delayMs => {
      if (delayMs > overloadedDelayMs) starts = Math.max(minStarts, starts * shrinkFactor)
      else if (delayMs < timelyDelayMs) starts = Math.min(maxStarts, starts * growFactor)
      return Math.floor(starts)
    },
  }
}
