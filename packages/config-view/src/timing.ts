/** Interval of store polls, and of exchanges unless they may be relaxed. */
export const pollIntervalMs = 500

/**
 * Interval of exchanges with a peer while the store confirms the view and neither side has work or
 * news. At 500 ms, 9 idle entry hosts used 7.0 KB/s and 10.1 % of a core each.
 */
export const relaxedExchangeMs = 2_000

/**
 * Age up to which a read that confirmed the view shows that the store answers: one interval and
 * the time that a timer may be late. An unanswered read then returns the exchanges to 500 ms in the
 * next round, 1 s before the confirmation ends when the timers are on time.
 */
export const storeAnswersMs = 750

/** Longest time that one call to the store or to a peer may take. */
export const callMs = 2_000

/** How long a contact confirms the view, counted from the start of the contact. */
export const confirmMs = 2_000

/** How long the store must have answered before a read of it confirms the view. */
export const storeSettleMs = 3_000

/**
 * Longest pause between two answered reads that still counts as uninterrupted. A process that was
 * paused for longer cannot know whether the store was down in between.
 */
export const maxReadGapMs = 1_500

/** Time for the commit of a restriction. */
export const restrictionCommitMs = 2_000

/**
 * Longest duration of a read that shows that holders of restrictions can commit them within 3 s:
 * they need one poll interval, one read and one commit.
 */
export const promptReadMs = 500

/** Default time to wait for acknowledgements of a change. */
export const acknowledgeMs = 2_000

/** Pause between two attempts to get an acknowledgement. */
export const retryMs = 100

/** Versions between two snapshots. */
export const snapshotInterval = 100

/** Starts timers; tests replace it together with the clock. */
export interface Timers {
  /** Calls `fn` once after `ms`; the result cancels it. */
  set(fn: () => void, ms: number): () => void
}

/** Timers of programs. */
export const systemTimers: Timers = {
  set: (fn, ms) => {
    const timer = setTimeout(fn, ms)
    return () => {
      clearTimeout(timer)
    }
  },
}

/** Waits for `ms`. */
export async function pause(timers: Timers, ms: number): Promise<void> {
  await new Promise<void>(resolve => timers.set(resolve, ms))
}
