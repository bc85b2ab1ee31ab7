import type { Logger } from '@bulrushbridge/telemetry'

/** Interval between two log lines about the load of a dispatcher, in milliseconds. */
const intervalMs = 1_000

/** State of a term that its load line shows. */
export interface LoadState {
  /** Number of jobs in memory. */
  jobs: number
  /** Number of runs that take resources of runners, recorded and stopping ones included. */
  runs: number
  /** Number of startable tasks that have no run. */
  waitingTasks: number
  /** How long the oldest unwritten change of a job has waited, in milliseconds. */
  storeLagMs: number
}

/** Options of {@link createLoadLog}. */
export interface LoadLogOptions {
  /** Fencing token of the term. */
  fence: number
  log: Logger
  readState: () => LoadState
}

/**
 * Logs once a second how busy the dispatcher's event loop is and how long its calls take. The two
 * tell a host that lacks processor time (`eventLoopUse` near 1) from a slow network, slow runners or
 * a slow store (`eventLoopUse` below 1, `startMs` or `storeLagMs` high).
 */
export interface LoadLog {
  /** Adds the duration of a placement pass, in milliseconds. */
  addPass(ms: number): void
  /** Adds the time from a start order to its confirmation, in milliseconds. */
  addStart(ms: number): void
  close(): void
}

/**
 * Starts the load log of a term.
 *
 * @example
 * const loadLog = createLoadLog({ fence: 7, log, readState })
 * loadLog.addPass(2.5)
 */
export function createLoadLog({ fence, log, readState }: LoadLogOptions): LoadLog {
  let passes = { count: 0, totalMs: 0 }
  let starts = { count: 0, totalMs: 0 }
  let measuredAt = performance.now()
  let eventLoop = performance.eventLoopUtilization()
  const timer = setInterval(() => {
    const now = performance.now()
    const current = performance.eventLoopUtilization()
    const { utilization } = performance.eventLoopUtilization(current, eventLoop)
    const { storeLagMs, ...counts } = readState()
    log.info('dispatcher load', {
      fence,
      intervalMs: Math.round(now - measuredAt),
      eventLoopUse: Number(utilization.toFixed(2)),
      passes: passes.count,
      passMs: Math.round(passes.totalMs),
      starts: starts.count,
      startMs: starts.count === 0 ? undefined : Math.round(starts.totalMs / starts.count),
      ...counts,
      storeLagMs: Math.round(storeLagMs),
    })
    measuredAt = now
    eventLoop = current
    passes = { count: 0, totalMs: 0 }
    starts = { count: 0, totalMs: 0 }
  }, intervalMs)
  return {
    addPass: ms => {
      passes.count += 1
      passes.totalMs += ms
    },
    addStart: ms => {
      starts.count += 1
      starts.totalMs += ms
    },
    close: () => {
      clearInterval(timer)
    },
  }
}
