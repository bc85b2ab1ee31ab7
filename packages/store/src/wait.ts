import type { Clock } from '@bulrushbridge/errors'

/** A clock that can also wait, so that tests control the pauses of background tasks. */
export interface WaitingClock extends Clock {
  /** Resolves after `ms`, or early when the signal is aborted. Real timers are used if absent. */
  sleep?(ms: number, signal?: AbortSignal): Promise<void>
}

/**
 * Waits for a time on the clock; an aborted signal ends the wait early without an error.
 *
 * @example
 * await wait(clock, 500, closing.signal)
 */
export async function wait(clock: WaitingClock, ms: number, signal?: AbortSignal): Promise<void> {
  if (clock.sleep !== undefined) return clock.sleep(ms, signal)
  if (signal?.aborted === true) return
  await new Promise<void>(resolve => {
    const end = () => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', end)
      resolve()
    }
    const timer = setTimeout(end, Math.max(0, ms))
    signal?.addEventListener('abort', end)
  })
}
