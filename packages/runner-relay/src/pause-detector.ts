/** Detects that the process did not run for a time: it was paused, or the machine suspended. */
export interface PauseDetector {
  /** Returns for how long the process was paused since the last check, in ms; 0 if it was not. */
  check(): number
  /**
   * Returns what `check` would return now. For data that arrives: after a pause, sockets can be
   * read before the timer of the check runs.
   */
  peek(): number
}

/**
 * Creates a detector that is to be checked every `intervalMs`. The steady clock does not count the
 * time of a suspended machine, so the time of day is compared too; when somebody sets it, that
 * counts as a pause.
 *
 * @example
 * const detector = createPauseDetector({ intervalMs: 100, toleranceMs: 400 })
 * setInterval(() => { if (detector.check() > 0) dropWhatIsOutdated() }, 100)
 */
export function createPauseDetector(opts: {
  intervalMs: number
  /** Delay of a check that does not count as a pause yet. */
  toleranceMs: number
  now?: () => number
  wallNow?: () => number
}): PauseDetector {
  const { intervalMs, toleranceMs, now = () => performance.now(), wallNow = Date.now } = opts
  let checkedAt = now()
  let wallCheckedAt = wallNow()
  const peek = () => {
    const steadyMs = now() - checkedAt
    const wallMs = Math.abs(wallNow() - wallCheckedAt)
    const delayMs = Math.max(steadyMs, wallMs) - intervalMs
    return delayMs > toleranceMs ? delayMs : 0
  }
  return {
    check: () => {
      const pausedMs = peek()
      checkedAt = now()
      wallCheckedAt = wallNow()
      return pausedMs
    },
    peek,
  }
}
