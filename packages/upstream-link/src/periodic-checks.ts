/** Interval at which deadlines and progress are checked, in milliseconds. */
export const checkIntervalMs = 20

const checks = new Set<() => void>()
let timer: NodeJS.Timeout | undefined

/**
 * Calls `check` every {@link checkIntervalMs} until the returned function is called. All clients of
 * the process share one timer, because a timer per request costs more than the other bookkeeping of
 * the request.
 *
 * @example
 * const remove = addPeriodicCheck(() => { checkDeadlines() })
 */
export function addPeriodicCheck(check: () => void): () => void {
  checks.add(check)
  timer ??= setInterval(() => {
    for (const each of checks) each()
  }, checkIntervalMs).unref()
  return () => {
    checks.delete(check)
    if (checks.size > 0) return
    clearInterval(timer)
    timer = undefined
  }
}
