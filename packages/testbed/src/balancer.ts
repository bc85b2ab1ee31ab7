import type { TestEntry } from './testbed.js'

/** Interval of the readiness checks, in milliseconds. */
const checkMs = 100

/** Time for one readiness check, in milliseconds. */
const answerMs = 500

/**
 * Time for which a positive check counts, from its start, in milliseconds. An entry host waits for
 * the balancer at a shutdown; a balancer that acts on older answers than that breaks its part.
 */
const validMs = 700

/** The load balancer's knowledge of entry hosts. */
export interface Balancer {
  /** Entry hosts whose last check was positive and is recent. */
  ready(): TestEntry[]
  close(): void
}

/**
 * Starts checking entry hosts as a load balancer does.
 *
 * @example
 * const balancer = createBalancer(() => bed.entries)
 */
export function createBalancer(entries: () => readonly TestEntry[]): Balancer {
  const checks = new Map<TestEntry, { startedAt: number; isReady: boolean }>()
  const check = async (entry: TestEntry) => {
    const startedAt = performance.now()
    const res = await fetch(`http://${entry.operators}/health/ready`, {
      signal: AbortSignal.timeout(answerMs),
    }).catch(() => undefined)
    // Answers may overtake each other; a later check knows more.
    if (startedAt < (checks.get(entry)?.startedAt ?? -Infinity)) return
    checks.set(entry, { startedAt, isReady: res?.status === 200 })
  }
  const checkAll = () => {
    for (const entry of entries()) void check(entry)
  }
  const timer = setInterval(checkAll, checkMs)
  checkAll()
  return {
    ready: () =>
      entries().filter(entry => {
        const last = checks.get(entry)
        return last?.isReady === true && performance.now() - last.startedAt < validMs
      }),
    close: () => {
      clearInterval(timer)
    },
  }
}
