import {
  maxFirstAgeMs,
  runnerStateOf,
  type ActiveRun,
  type RunnerState,
  type RunnerSpeeds,
  type RunTimeEstimate,
  type RunTimeModel,
  type TaskKind,
} from '@bulrushbridge/run-times'
import {
  isStalled,
  taskKindOf,
  type ObservedRun,
  type RunnerFailureTracker,
  type Task,
} from '@bulrushbridge/scheduler'
import type { Logger } from '@bulrushbridge/telemetry'
import type { Allocation } from './allocation.js'
import { isFullSpeedRun } from './run-observer.js'
import type { RunnerSession } from './runner-session.js'

/** Share of the runs of a kind that end within the time after which a run counts as overdue. */
const longQuantile = 0.99

/** Time for which a change of its progress shows that a run does not hang, in milliseconds. */
const progressKeptMs = 2_500

/** Least time between two log lines about runners on which nothing progresses, in milliseconds. */
const stuckLogIntervalMs = 200

/** Options of {@link createStallDetector}. */
export interface StallDetectorOptions {
  runTimes: RunTimeModel
  speeds: RunnerSpeeds
  sessions: ReadonlyMap<string, CheckedSession>
  runnerFailures: RunnerFailureTracker
  log: Logger
}

/** What the detector needs of a runner's session. */
export type CheckedSession = Pick<
  RunnerSession,
  'id' | 'rack' | 'runnerStartedAt' | 'lastDoneAt' | 'allocations' | 'stop'
>

/**
 * Stops stalled runs, and tells runners that answer polls while nothing progresses there from those
 * with one long task. What is learned decides only on runs whose step has an image.
 */
export interface StallDetector {
  /** Checks the runs on one runner. */
  check(session: CheckedSession, now: number): void
  /**
   * Passes the runs that the checks since the last call have seen to the run-time model, and ends the
   * quarantine of stuck runners that have restarted.
   */
  finishCheck(): void
}

/** A run of a finite task that its runner has confirmed. */
interface FiniteRun {
  allocation: Allocation
  task: Task
  kind: TaskKind
  estimate: RunTimeEstimate
  startedAt: number
}

/**
 * Creates the detector.
 *
 * @example
 * for (const session of sessions.values()) stalls.check(session, performance.now())
 * stalls.finishCheck()
 */
export function createStallDetector(opts: StallDetectorOptions): StallDetector {
  const { runTimes, speeds, sessions, runnerFailures, log } = opts
  let activeRuns: ActiveRun[] = []
  /** When the runners started that were quarantined as stuck. */
  const stuckRunners = new Map<string, number>()
  let stuckLoggedAt = -Infinity

  const noteStuck = (session: CheckedSession, runs: readonly FiniteRun[], now: number) => {
    const { id: runnerId, lastDoneAt } = session
    stuckRunners.set(runnerId, session.runnerStartedAt)
    const isQuarantined = runnerFailures.recordStuck(runnerId, now)
    if (!isQuarantined || now - stuckLoggedAt < stuckLogIntervalMs) return
    stuckLoggedAt = now
    const lastProgressAt = Math.max(...runs.map(({ allocation }) => allocation.percentAt))
    log.warn('runner answers but none of its runs progresses, it is quarantined', {
      runner: runnerId,
      runs: runs.length,
      sinceProgressMs: Math.round(now - lastProgressAt),
      sinceDoneMs: lastDoneAt === undefined ? undefined : Math.round(now - lastDoneAt),
    })
  }

  return {
    check: (session, now) => {
      const runs = finiteRunsOf(session, runTimes)
      if (runs.length === 0) return
      const speedFactor = speeds.factor(session.id, session.runnerStartedAt, now)
      const state = stateWith(session, runs, speedFactor, now)
      if (state === 'stuck') noteStuck(session, runs, now)
      for (const run of runs) {
        stopIfStalled(opts, session, run, { speedFactor, state }, now)
        if (isEvidence(run, session, now))
          activeRuns.push({ ...run.kind, id: run.allocation, ms: now - run.startedAt })
      }
    },
    finishCheck: () => {
      runTimes.setActive(activeRuns)
      activeRuns = []
      for (const [id, startedAt] of stuckRunners) {
        const session = sessions.get(id)
        if (session?.runnerStartedAt === startedAt) continue
        stuckRunners.delete(id)
        if (session !== undefined) runnerFailures.forget(id)
      }
    },
  }
}

function finiteRunsOf(session: CheckedSession, runTimes: RunTimeModel): FiniteRun[] {
  const runs: FiniteRun[] = []
  for (const allocation of session.allocations.values()) {
    const { task, state, confirmedAt } = allocation
    if (task === undefined || state !== 'present' || confirmedAt === undefined) continue
    const { definition, job } = task.step
    if (definition.isLasting === true) continue
    const kind = taskKindOf(job.definition.queue, definition)
    const estimate = runTimes.estimate(kind)
    runs.push({ allocation, task, kind, estimate, startedAt: confirmedAt })
  }
  return runs
}

/**
 * Whether the time for which a run has run shows how long tasks take: it began in this term, and has
 * progressed a short while ago. With runs that may hang, the estimate would rise until none is overdue.
 */
function isEvidence(
  { allocation, startedAt, task }: FiniteRun,
  { rack }: CheckedSession,
  now: number,
): boolean {
  if (allocation.orderedAt === undefined || !isFullSpeedRun(task, rack)) return false
  // The model must see each run shortly after its start.
  return now - startedAt <= maxFirstAgeMs || isProgressing(allocation, startedAt, now)
}

function isProgressing({ percentAt }: Allocation, startedAt: number, now: number): boolean {
  return percentAt > startedAt && now - percentAt <= progressKeptMs
}

function stateWith(
  session: CheckedSession,
  runs: readonly FiniteRun[],
  speedFactor: number,
  now: number,
): RunnerState {
  const isLearned = runs.some(({ kind }) => kind.image !== undefined)
  const atFullSpeed = runs.filter(({ task }) => isFullSpeedRun(task, session.rack))
  const progress = atFullSpeed.map(({ allocation, startedAt, estimate }) => ({
    startedAt,
    progressAt: allocation.percentAt,
    expectedMs: estimate.meanMs * Math.max(1, speedFactor),
  }))
  return isLearned ? runnerStateOf(progress, session.lastDoneAt, now) : 'unknown'
}

function stopIfStalled(
  { runnerFailures, log }: StallDetectorOptions,
  session: CheckedSession,
  { allocation, task, kind, estimate, startedAt }: FiniteRun,
  { speedFactor, state }: { speedFactor: number; state: RunnerState },
  now: number,
): void {
  const { definition, job } = task.step
  if (definition.isGang === true) return
  const { percentAt: progressAt, percent, taskName, runNumber } = allocation
  const estimateMs = estimate.meanMs
  const run: ObservedRun = { startedAt, progressAt, estimateMs }
  if (kind.image !== undefined) {
    run.speedFactor = speedFactor
    run.isRunnerStuck = state === 'stuck'
  }
  if (!isStalled(run, now)) return
  // Beside runs that progress, a run without progress may be one of the few long tasks.
  if (kind.image !== undefined && state === 'working')
    run.longMs = estimate.quantileMs(longQuantile)
  if (!isStalled(run, now)) return
  log.info('stalled run stopped', {
    task: taskName,
    run: runNumber,
    runner: session.id,
    ranMs: Math.round(now - startedAt),
    percent,
    estimateMs: Math.round(estimateMs),
    longMs: run.longMs === undefined ? undefined : Math.round(run.longMs),
    speedFactor: run.speedFactor,
    runnerState: state,
  })
  // The stall counts against the runner. The run ends as `stopped`, so it does not count against
  // the attempts of the task.
  task.lastFailedRunnerId = session.id
  if (runnerFailures.recordFailure(session.id, job.definition.id, now)) {
    log.warn('runner quarantined after failures', { runner: session.id })
  }
  void session.stop(allocation)
}
