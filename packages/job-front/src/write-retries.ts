import { RequestError, systemClock } from '@bulrushbridge/errors'
import { StoreError, wait } from '@bulrushbridge/store'

/** Timeout of one attempt, in milliseconds; a slow store takes about 400. */
const attemptTimeoutMs = 900

/** Pause between attempts, in milliseconds. */
const retryPauseMs = 80

/** Time for which a write is retried while the store refuses it, in milliseconds. */
const maxRefusalRetryMs = 250

/** Time after which a caller may retry when the store was not available, in milliseconds. */
export const retryAfterMs = 1_000

/** What is known of a write from its attempts so far. */
export interface WriteState {
  /** Whether an attempt may have stored the write. */
  mayBeStored: boolean
}

/**
 * Repeats a write until an attempt resolves. An attempt that rejects with a RequestError is not
 * repeated. When the store refuses, the caller gets the error early. When it does not respond, it
 * may have stored the write, so attempts go on until the deadline.
 *
 * @throws RequestError `store-unavailable` when the write is certainly not stored,
 * `acceptance-unknown` when it may be stored, `job-not-storable` when the store would always refuse it.
 *
 * @example
 * await retryWrite(deadline, attemptDeadline => store.commit(tx, { deadline: attemptDeadline }))
 */
export async function retryWrite<T>(
  deadline: number,
  attempt: (attemptDeadline: number, state: WriteState) => Promise<T>,
): Promise<T> {
  const startedAt = performance.now()
  const state: WriteState = { mayBeStored: false }
  for (;;) {
    try {
      return await attempt(Math.min(deadline, performance.now() + attemptTimeoutMs), state)
    } catch (cause) {
      if (cause instanceof RequestError) throw cause
      if (cause instanceof StoreError && !cause.isResultKnown) state.mayBeStored = true
      if (cause instanceof StoreError && cause.isRejected && !state.mayBeStored)
        throw new RequestError('job-not-storable', { cause })
      const now = performance.now()
      const hasRetryTimeEnded = state.mayBeStored
        ? now + retryPauseMs >= deadline
        : now - startedAt >= maxRefusalRetryMs
      if (hasRetryTimeEnded && state.mayBeStored) {
        throw new RequestError('acceptance-unknown', { outcome: 'unknown', cause })
      }
      if (hasRetryTimeEnded) throw new RequestError('store-unavailable', { retryAfterMs, cause })
      await wait(systemClock, retryPauseMs)
    }
  }
}
