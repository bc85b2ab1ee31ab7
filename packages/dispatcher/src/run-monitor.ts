import {
  chooseFillerPace,
  isStalled,
  type FillerPace,
  type RunnerFailureTracker,
  type RunTimeEstimator,
  type ServingLatency,
} from '@bulrushbridge/scheduler'
import type { Logger } from '@bulrushbridge/telemetry'
import type { Allocation } from './allocation.js'
import type { RunnerSession } from './runner-session.js'

/** Options of {@link createRunMonitor}. */
export interface RunMonitorOptions {
  sessions: ReadonlyMap<string, RunnerSession>
  runTimes: RunTimeEstimator
  runnerFailures: RunnerFailureTracker
  log: Logger
}

/**
 * Checks the runs on all runners: stops stalled runs, stops lasting runs on draining runners so
 * that their tasks start elsewhere, and slows down filler tasks that share a runner with serving
 * tasks.
 */
export interface RunMonitor {
  /** Checks all runs once. */
  check(): void
}

/**
 * Creates the run monitor.
 *
 * @example
 * const monitor = createRunMonitor({ sessions, runTimes, runnerFailures, log })
 * monitor.check()
 */
export function createRunMonitor(opts: RunMonitorOptions): RunMonitor {
  const paces = new Map<string, FillerPace>()
  return {
    check: () => {
      const now = performance.now()
      for (const session of opts.sessions.values()) {
        if (session.allocations.size === 0 || session.unreachableSince !== undefined) continue
        for (const allocation of session.allocations.values()) {
          stopIfStalled(opts, session, allocation, now)
          stopIfDraining(opts, session, allocation)
        }
        paceFillers(opts, session, paces, now)
      }
      for (const id of paces.keys()) if (!opts.sessions.has(id)) paces.delete(id)
    },
  }
}

function stopIfStalled(
  { runTimes, runnerFailures, log }: RunMonitorOptions,
  session: RunnerSession,
  allocation: Allocation,
  now: number,
): void {
  const { task, state, confirmedAt, percentAt, percent, taskName, runNumber } = allocation
  if (task === undefined || state !== 'present' || confirmedAt === undefined) return
  const { definition, job } = task.step
  if (definition.isLasting === true || definition.isGang === true) return
  const estimateMs = runTimes.estimateMs(job.definition.queue, definition.estimateMs)
  if (!isStalled({ startedAt: confirmedAt, progressAt: percentAt, estimateMs }, now)) return
  const ranMs = Math.round(now - confirmedAt)
  log.info('stalled run stopped', {
    task: taskName,
    run: runNumber,
    runner: session.id,
    ranMs,
    percent,
  })
  // The stall counts against the runner. The run ends as `stopped`, so it does not count against
  // the attempts of the task.
  task.lastFailedRunnerId = session.id
  if (runnerFailures.recordFailure(session.id, job.definition.id, now)) {
    log.warn('runner quarantined after failures', { runner: session.id })
  }
  void session.stop(allocation)
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
