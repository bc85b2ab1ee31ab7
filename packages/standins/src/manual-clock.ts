/** A clock that moves only when a test advances it. */
export interface ManualClock {
  now(): number
  sleep(ms: number, signal?: AbortSignal): Promise<void>
  /** Moves the time and wakes the sleepers that are due. */
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
  let time = 1_000
  const sleepers = new Set<{ at: number; wake: () => void }>()
  return {
    now: () => time,
    sleep: (ms, signal) =>
      new Promise(resolve => {
        if (signal?.aborted === true || ms <= 0) return void setImmediate(resolve)
        const sleeper = {
          at: time + ms,
          wake: () => {
            sleepers.delete(sleeper)
            signal?.removeEventListener('abort', sleeper.wake)
            resolve()
          },
        }
        sleepers.add(sleeper)
        signal?.addEventListener('abort', sleeper.wake)
      }),
    advance: ms => {
      time += ms
      for (const sleeper of [...sleepers]) if (sleeper.at <= time) sleeper.wake()
    },
  }
}

/** Longest real time that {@link until} waits; it only bounds a failing test. */
const untilMs = 10_000

/**
 * Waits in real time until a condition holds, for effects that pass through sockets.
 *
 * @example
 * await until(() => duty.held() !== undefined)
 */
export async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = performance.now() + untilMs
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error(`no change within ${untilMs} ms`)
    await new Promise(resolve => setTimeout(resolve, 2))
  }
}
