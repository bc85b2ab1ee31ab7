import type { RunnerSpeeds, RunTimeModel } from '@bulrushbridge/run-times'
import {
  chooseFillerPace,
  type FillerPace,
  type RunnerFailureTracker,
  type ServingLatency,
} from '@bulrushbridge/scheduler'
import type { Logger } from '@bulrushbridge/telemetry'
import type { Allocation } from './allocation.js'
import type { RunnerSession } from './runner-session.js'
import { createStallDetector } from './stall-detector.js'

/** Options of {@link createRunMonitor}. */
export interface RunMonitorOptions {
  sessions: ReadonlyMap<string, RunnerSession>
  runTimes: RunTimeModel
  speeds: RunnerSpeeds
  runnerFailures: RunnerFailureTracker
  log: Logger
}

/**
 * Checks the runs on all runners: stops stalled runs, stops lasting runs on draining runners so
 * that their tasks start elsewhere, and slows down filler tasks that share a runner with serving
 * tasks.
 */
export interface RunMonitor {
  /** Checks all runs once; `now` is a reading of `performance.now()`. */
  check(now: number): void
}

/**
 * Creates the run monitor.
 *
 * @example
 * const monitor = createRunMonitor({ sessions, runTimes, runnerFailures, log })
 * monitor.check(performance.now())
 */
export function createRunMonitor(opts: RunMonitorOptions): RunMonitor {
  const paces = new Map<string, FillerPace>()
  const stalls = createStallDetector(opts)
  return {
    check: now => {
      for (const session of opts.sessions.values()) {
        if (session.allocations.size === 0 || session.unreachableSince !== undefined) continue
        stalls.check(session, now)
        for (const allocation of session.allocations.values())
          stopIfDraining(opts, session, allocation)
        paceFillers(opts, session, paces, now)
      }
      stalls.finishCheck()
      for (const id of paces.keys()) if (!opts.sessions.has(id)) paces.delete(id)
    },
  }
}

/** Stops a lasting task on a draining runner while the runner can still confirm its end. */
function stopIfDraining(
  { log }: RunMonitorOptions,
  session: RunnerSession,
  allocation: Allocation,
): void {
  if (session.entry?.isDraining !== true || allocation.state !== 'present') return
  if (allocation.task?.step.definition.isLasting !== true) return
  const { taskName, runNumber } = allocation
  log.info('lasting run stopped, its runner is draining', {
    task: taskName,
    run: runNumber,
    runner: session.id,
  })
  void session.stop(allocation)
}

function paceFillers(
  { log }: RunMonitorOptions,
  session: RunnerSession,
  paces: Map<string, FillerPace>,
  now: number,
): void {
  const fillers: Allocation[] = []
  const latencies: ServingLatency[] = []
  for (const allocation of session.allocations.values()) {
    const step = allocation.task?.step.definition
    if (step?.isFiller === true && allocation.state === 'present') fillers.push(allocation)
    else if (step?.targetMs !== undefined && allocation.usage !== undefined) {
      latencies.push({ tailLatencyMs: allocation.usage, targetMs: step.targetMs })
    }
  }
  if (fillers.length === 0) {
    paces.delete(session.id)
    return
  }
  const before = paces.get(session.id) ?? { percent: 100, raiseDelayStartedAt: undefined }
  const next = chooseFillerPace(before, latencies, now)
  paces.set(session.id, next)
  if (next.percent !== before.percent) {
    const worst = Math.max(
      0,
      ...latencies.map(({ tailLatencyMs, targetMs }) => tailLatencyMs / targetMs),
    )
    const { percent } = next
    log.info('pace of filler runs changed', {
      runner: session.id,
      percent,
      fillers: fillers.length,
      worst,
    })
  }
  for (const filler of fillers) {
    if (filler.pacePercent !== next.percent) void session.pace(filler, next.percent)
  }
}
