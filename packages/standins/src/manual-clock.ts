/** A clock that moves only when a test advances it. */
export interface ManualClock {
  now(): number
  sleep(ms: number, signal?: AbortSignal): Promise<void>
  /** Advances the time and ends the sleeps that are due. */
  advance(ms: number): void
}

/**
 * Creates a clock for tests; it starts at 1000 ms.
 *
 * @example
 * const clock = createManualClock()
 * clock.advance(5_000)
 */
export function createManualClock(): ManualClock {
  let currentTime = 1_000
  const pendingSleeps = new Set<{ at: number; finish: () => void }>()
  return {
    now: () => currentTime,
    sleep: (ms, signal) =>
      new Promise(resolve => {
        if (signal?.aborted === true || ms <= 0) return void setImmediate(resolve)
        const pendingSleep = {
          at: currentTime + ms,
          finish: () => {
            pendingSleeps.delete(pendingSleep)
            signal?.removeEventListener('abort', pendingSleep.finish)
            resolve()
          },
        }
        pendingSleeps.add(pendingSleep)
        signal?.addEventListener('abort', pendingSleep.finish)
      }),
    advance: ms => {
      currentTime += ms
      for (const sleep of [...pendingSleeps]) if (sleep.at <= currentTime) sleep.finish()
    },
  }
}

/** Time after which {@link waitUntil} fails; it only bounds how long a failing test takes. */
const waitLimitMs = 10_000

/**
 * Waits in real time until a condition holds. Used for effects that pass through sockets, which a
 * {@link ManualClock} does not control.
 *
 * @example
 * await until(() => runner.running().length === 0)
 */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = performance.now() + waitLimitMs
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error(`condition not met within ${waitLimitMs} ms`)
    await new Promise(resolve => setTimeout(resolve, 2))
  }
}
