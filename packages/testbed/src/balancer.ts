import type { TestEntry } from './testbed.js'

/** Interval between readiness checks of an entry host, in milliseconds. */
const checkIntervalMs = 100

/** Timeout of one readiness check, in milliseconds. */
const checkTimeoutMs = 500

/**
 * Time for which a successful check is valid, counted from its start, in milliseconds. It must be
 * shorter than the time for which an entry host that shuts down waits for the balancer; otherwise
 * the balancer still sends requests to a host that no longer accepts them.
 */
const checkValidityMs = 700

/** A load balancer that checks the readiness of entry hosts. */
export interface Balancer {
  /** Returns the entry hosts whose last check succeeded and is still valid. */
  findReadyEntries(): TestEntry[]
  /** Stops the checks. */
  close(): void
}

/**
 * Starts the periodic readiness checks of the entry hosts that `entries` returns.
 *
 * @example
 * const balancer = createBalancer(() => testbed.entries)
 */
export function createBalancer(entries: () => readonly TestEntry[]): Balancer {
  const checks = new Map<TestEntry, { startedAt: number; isReady: boolean }>()
  const check = async (entry: TestEntry) => {
    const startedAt = performance.now()
    const res = await fetch(`http://${entry.operators}/health/ready`, {
      signal: AbortSignal.timeout(checkTimeoutMs),
    }).catch(() => undefined)
    // Responses may arrive out of order; the check that started last decides.
    if (startedAt < (checks.get(entry)?.startedAt ?? -Infinity)) return
    checks.set(entry, { startedAt, isReady: res?.status === 200 })
  }
  const checkAll = () => {
    for (const entry of entries()) void check(entry)
  }
  const timer = setInterval(checkAll, checkIntervalMs)
  checkAll()
  return {
    findReadyEntries: () =>
      entries().filter(entry => {
        const lastCheck = checks.get(entry)
        return (
          lastCheck?.isReady === true && performance.now() - lastCheck.startedAt < checkValidityMs
        )
      }),
    close: () => {
      clearInterval(timer)
    },
  }
}
