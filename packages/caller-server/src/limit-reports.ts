import type { Logger, Metrics } from '@bulrushbridge/telemetry'

/** Time between two log lines with the same port and cause, in milliseconds. */
const lineIntervalMs = 1_000

/** Ports of a program whose clients are limited. */
export type ClientPort = 'callers' | 'readiness' | 'metrics' | 'relay' | 'operators' | 'peers'

/** Counts and logs what the limits on clients close and reject. */
export interface LimitReports {
  /** `cause` is one of a fixed set, as it is a label of the counter. */
  report(port: ClientPort, cause: string, address: string): void
}

/**
 * Creates the reports. Each port and cause has a counter and at most one log line a second, which says
 * how many there were since the line before.
 *
 * @example
 * const reports = createLimitReports(log, metrics)
 * reports.report('callers', 'responses-unread', '10.0.0.7')
 */
export function createLimitReports(log: Logger, metrics: Metrics): LimitReports {
  const entries = new Map<string, { count: number; nextLineAt: number }>()
  return {
    report: (port, cause, address) => {
      metrics.count('bulrush_client_limits_total', { port, cause })
      const key = `${port} ${cause}`
      const entry = entries.get(key) ?? { count: 0, nextLineAt: 0 }
      entries.set(key, entry)
      entry.count += 1
      const now = performance.now()
      if (now < entry.nextLineAt) return
      log.warn('limit on clients applied', { port, cause, address, count: entry.count })
      entry.count = 0
      entry.nextLineAt = now + lineIntervalMs
    },
  }
}
