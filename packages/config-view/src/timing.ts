/** Interval of store polls, and of exchanges unless {@link relaxedExchangeIntervalMs} applies. */
export const pollIntervalMs = 500

/**
 * Interval of exchanges with a peer while the store confirms the view and neither side has work in
 * progress or changes to report. At 500 ms, each of 9 idle entry hosts used 7.0 KB/s and 10.1 % of
 * a core.
 */
export const relaxedExchangeIntervalMs = 2_000

/**
 * Greatest age at which the last read that confirmed the view still shows that the store answers:
 * one poll interval, and 250 ms for late timers. After an unanswered read, exchanges return to an
 * interval of 500 ms in the next round, which is 1 s before the confirmation ends if timers are on
 * time.
 */
export const maxConfirmingReadAgeMs = 750

/** Longest time that one call to the store or to a peer may take. */
export const callTimeoutMs = 2_000

/** How long a read of the store or exchanges with a majority confirm the view, from their start. */
export const confirmationMs = 2_000

/** How long the store must have answered before a read of it confirms the view. */
export const storeStableMs = 3_000

/**
 * Longest time between the starts of two answered reads in an uninterrupted series. A process that
 * was paused for longer cannot know whether the store was down in between.
 */
export const maxReadGapMs = 1_500

/** Time allowed for the commit of a provisional restriction. */
export const restrictionCommitTimeoutMs = 2_000

/**
 * Longest duration of a read that shows that entry hosts can commit their provisional restrictions
 * within 3 s: a commit takes them one poll interval, one read and one commit call.
 */
export const maxPromptReadMs = 500

/** Default time to wait for the acknowledgements of a change. */
export const acknowledgeTimeoutMs = 2_000

/** Delay between two attempts to get an acknowledgement from a peer. */
export const retryDelayMs = 100

/** Number of versions from one snapshot to the next. */
export const snapshotIntervalVersions = 100

/** Starts timers; tests replace them together with the clock. */
export interface ViewTimers {
  /** Calls `fn` once after `ms`; the returned function cancels the timer. */
  set(fn: () => void, ms: number): () => void
}

/** Timers of the Node.js event loop. */
export const systemTimers: ViewTimers = {
  set: (fn, ms) => {
    const timer = setTimeout(fn, ms)
    return () => {
      clearTimeout(timer)
    }
  },
}

/** Resolves after `ms`. */
export async function delay(timers: ViewTimers, ms: number): Promise<void> {
  await new Promise<void>(resolve => timers.set(resolve, ms))
}
