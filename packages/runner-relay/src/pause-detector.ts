/** Detects that the process did not run for a time: it was paused, or the machine suspended. */
export interface PauseDetector {
  /** Returns for how long the process was paused since the last call, in ms; 0 if it was not. */
  check(): number
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
  return {
    check: () => {
      const steadyMs = now() - checkedAt
      const wallMs = Math.abs(wallNow() - wallCheckedAt)
      checkedAt = now()
      wallCheckedAt = wallNow()
      const delayMs = Math.max(steadyMs, wallMs) - intervalMs
      return delayMs > toleranceMs ? delayMs : 0
    },
  }
}
