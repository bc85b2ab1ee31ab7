import type { RunnerSpeeds, RunTimeModel } from '@bulrushbridge/run-times'
import { taskKindOf, type Task } from '@bulrushbridge/scheduler'
import type { Logger, Metrics } from '@bulrushbridge/telemetry'
import type { RunnerSession } from './runner-session.js'

/** Most queues that have a series of their own in the metrics; the others share one. */
const maxQueueLabels = 64

/** Label of the queues beyond {@link maxQueueLabels}. */
const otherQueues = 'other'

/**
 * Runs of an image before a run is compared with their mean. Until then the mean depends on declared
 * estimates, which are off by up to 90%, and every runner would seem slow or fast.
 */
const minComparedRuns = 5

/** A runner is logged as slow from the first factor on, and until it falls below the second one. */
const slowFactor = 1.5
const notSlowFactor = 1.2

/** Least time between two log lines about slow runners, in milliseconds. */
const logIntervalMs = 200

/** Options of {@link createRunObserver}. */
export interface RunObserverOptions {
  runTimes: RunTimeModel
  speeds: RunnerSpeeds
  sessions: ReadonlyMap<string, Pick<RunnerSession, 'rack' | 'runnerStartedAt'>>
  log: Logger
  metrics: Metrics
}

/** Learns from runs that ended as done. */
export interface RunObserver {
  /** Adds the run of a finite task on a runner, which took `ms`, at the time `now`, in milliseconds. */
  observe(runnerId: string, task: Task, ms: number, now: number): void
}

/**
 * Creates the observer of finished runs: it passes them to the run-time model and to the speeds of
 * runners, and records how far predicted and declared run times were off.
 *
 * @example
 * observer.observe(session.id, task, now - allocation.confirmedAt, now)
 */
export function createRunObserver(opts: RunObserverOptions): RunObserver {
  const { runTimes, speeds, sessions, metrics } = opts
  const queueLabels = new Set<string>()
  const logSpeed = createSpeedLog(opts.log)
  const labelOf = (queue: string): string => {
    if (queueLabels.size < maxQueueLabels) queueLabels.add(queue)
    return queueLabels.has(queue) ? queue : otherQueues
  }
  return {
    observe: (runnerId, task, ms, now) => {
      const session = sessions.get(runnerId)
      const { queue } = task.step.job.definition
      const { image, ...kind } = taskKindOf(queue, task.step.definition)
      const isComparable = image !== undefined && isFullSpeedRun(task, session?.rack)
      const run = { ...kind, ...(isComparable ? { image } : {}), ms }
      const { meanMs, runs } = runTimes.estimate(run)
      const labels = { queue: labelOf(queue) }
      // The metrics show milliseconds as seconds, so that the factor is shown as it is.
      metrics.observe('bulrush_run_actual_by_predicted', labels, (1_000 * ms) / meanMs)
      const declaredMs = Math.max(1, kind.declaredMs)
      metrics.observe('bulrush_run_actual_by_declared', labels, (1_000 * ms) / declaredMs)
      runTimes.observe(run)
      if (session === undefined || !isComparable || runs < minComparedRuns) return
      const startedAt = session.runnerStartedAt
      speeds.observe({ runnerId, startedAt, at: now, ratio: ms / meanMs })
      logSpeed(runnerId, speeds.factor(runnerId, startedAt, now), now)
    },
  }
}

/**
 * Whether a run of a task shows the speed of its runner. Fillers are slowed down on purpose, and tasks
 * take longer on another rack than that of their data.
 */
export function isFullSpeedRun({ step }: Task, rack: string | undefined): boolean {
  const { isFiller, affinityRack } = step.definition
  return isFiller !== true && (affinityRack === undefined || affinityRack === rack)
}

/** Creates a function that logs when a runner begins or ceases to be slow. */
function createSpeedLog(log: Logger): (runner: string, factor: number, now: number) => void {
  const slowRunners = new Set<string>()
  let loggedAt = -Infinity
  return (runner, factor, now) => {
    const wasSlow = slowRunners.has(runner)
    const isSlow = factor > (wasSlow ? notSlowFactor : slowFactor)
    if (isSlow === wasSlow || now - loggedAt < logIntervalMs) return
    loggedAt = now
    if (isSlow) slowRunners.add(runner)
    else slowRunners.delete(runner)
    log.info(isSlow ? 'runner is slow, others are preferred' : 'runner is no longer slow', {
      runner,
      factor: Number(factor.toFixed(2)),
    })
  }
}
