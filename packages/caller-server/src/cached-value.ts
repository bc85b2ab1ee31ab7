/**
 * Returns a function that computes a value at most once within `maxAgeMs` and returns the same one until
 * then, so that requests for it cost the same however many there are.
 *
 * @example
 * const readText = createCachedValue(() => metrics.render(), 250)
 * readText(performance.now())
 */
export function createCachedValue<T>(compute: () => T, maxAgeMs: number): (now: number) => T {
  let cached: { value: T; expiresAt: number } | undefined
  return now => {
    if (cached === undefined || now >= cached.expiresAt)
      cached = { value: compute(), expiresAt: now + maxAgeMs }
    return cached.value
  }
}
