/** Time after which an acceptance with an unknown result has certainly taken effect or failed, in ms. */
const unknownMs = 60_000

/**
 * Time for which an id is kept after its result is known, in milliseconds: a read of the store that began
 * before the job was stored has ended by then.
 */
const knownMs = 2_000

/** Most ids that are kept. */
const maxIds = 10_000

/** Ids of jobs that this host is storing, has just stored, or may have stored without a response. */
export interface UnsettledAcceptances {
  /** Notes that a job is being stored; the returned function must be called when that is over. */
  begin(id: string): (isResultKnown: boolean, now: number) => void
  /** Whether a transaction of this host has just stored the job or may still do so. */
  has(id: string, now: number): boolean
}

/**
 * Creates the record of acceptances whose result is not known. A submission that is repeated meanwhile must not
 * be rejected as not stored, although the store does not show the job yet.
 *
 * @example
 * const end = unsettled.begin(id)
 * end(true, performance.now())
 */
export function createUnsettledAcceptances(): UnsettledAcceptances {
  const active = new Map<string, number>()
  /** Ids with an unknown or recent result, with the time until which they are kept, by their end. */
  const unknown = new Map<string, number>()
  /** Until then an id that had to be dropped may have an unknown result. */
  let droppedUntil = Number.NEGATIVE_INFINITY
  return {
    begin: id => {
      active.set(id, (active.get(id) ?? 0) + 1)
      return (isResultKnown, now) => {
        const count = (active.get(id) ?? 1) - 1
        if (count > 0) active.set(id, count)
        else active.delete(id)
        unknown.delete(id)
        unknown.set(id, now + (isResultKnown ? knownMs : unknownMs))
        for (const [oldest, until] of unknown) {
          if (until > now && unknown.size <= maxIds) break
          unknown.delete(oldest)
          droppedUntil = Math.max(droppedUntil, until)
        }
      }
    },
    has: (id, now) => active.has(id) || (unknown.get(id) ?? droppedUntil) > now,
  }
}
