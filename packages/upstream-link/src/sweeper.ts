/** Granularity of progress deadlines, in milliseconds. */
export const sweepMs = 20

const sweeps = new Set<() => void>()
let timer: NodeJS.Timeout | undefined

/**
 * Calls `sweep` every {@link sweepMs}. All links of the process share one timer, because a timer
 * per request costs more than the request's other bookkeeping. Returns the removal.
 *
 * @example
 * const remove = addSweep(() => { check() })
 */
export function addSweep(sweep: () => void): () => void {
  sweeps.add(sweep)
  timer ??= setInterval(() => {
    for (const each of sweeps) each()
  }, sweepMs).unref()
  return () => {
    sweeps.delete(sweep)
    if (sweeps.size > 0) return
    clearInterval(timer)
    timer = undefined
  }
}
