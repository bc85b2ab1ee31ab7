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
  type StepExecution,
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

/** Longest age of the last answer of a runner that is polled; a poll is held for up to 1.2 s. */
const maxAnswerAgeMs = 1_500

/** Runs that were stopped one after another on a runner on which nothing has progressed since. */
const stalledRunsIfStuck = 2

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
  'id' | 'rack' | 'runnerStartedAt' | 'lastDoneAt' | 'answeredAt' | 'allocations' | 'stop'
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

type StepEstimates = Map<StepExecution, { kind: TaskKind; estimate: RunTimeEstimate }>

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
  /** Estimates of this check by step, since the runs of a step have the same. */
  const estimates: StepEstimates = new Map()
  /** Runs that were stopped as stalled since anything progressed, by runner. */
  const stalledRuns = new Map<string, number>()
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
      const runs = finiteRunsOf(session, runTimes, estimates)
      if (runs.length === 0) return
      const speedFactor = speeds.factor(session.id, session.runnerStartedAt, now)
      const judgedAt = judgedTimeOf(session, now)
      const state = stateWith(session, runs, speedFactor, judgedAt)
      if (state === 'stuck') noteStuck(session, runs, now)
      if (state === 'working') stalledRuns.delete(session.id)
      for (const run of runs) {
        const isStopped = stopIfStalled(opts, session, run, { speedFactor, state, judgedAt }, now)
        if (isStopped && run.kind.image !== undefined && state === 'unknown')
          stalledRuns.set(session.id, (stalledRuns.get(session.id) ?? 0) + 1)
        if (isEvidence(run, session, now))
          activeRuns.push({ ...run.kind, id: run.allocation, ms: now - run.startedAt })
      }
      // Runs that began at different times are overdue one after another.
      if ((stalledRuns.get(session.id) ?? 0) < stalledRunsIfStuck) return
      stalledRuns.delete(session.id)
      noteStuck(session, runs, now)
    },
    finishCheck: () => {
      runTimes.setActive(activeRuns)
      activeRuns = []
      estimates.clear()
      for (const id of stalledRuns.keys()) if (!sessions.has(id)) stalledRuns.delete(id)
      for (const [id, startedAt] of stuckRunners) {
        const session = sessions.get(id)
        if (session?.runnerStartedAt === startedAt) continue
        stuckRunners.delete(id)
        if (session !== undefined) runnerFailures.forget(id)
      }
    },
  }
}

function finiteRunsOf(
  session: CheckedSession,
  runTimes: RunTimeModel,
  estimates: StepEstimates,
): FiniteRun[] {
  const runs: FiniteRun[] = []
  for (const allocation of session.allocations.values()) {
    const { task, state, confirmedAt } = allocation
    if (task === undefined || state !== 'present' || confirmedAt === undefined) continue
    const { definition, job } = task.step
    if (definition.isLasting === true) continue
    let estimated = estimates.get(task.step)
    if (estimated === undefined) {
      const kind = taskKindOf(job.definition.queue, definition)
      estimated = { kind, estimate: runTimes.estimate(kind) }
      estimates.set(task.step, estimated)
    }
    runs.push({ allocation, task, ...estimated, startedAt: confirmedAt })
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

/**
 * Returns the time as of which a runner is judged: that of its last answer if it is old, because after a
 * pause of this process all runners would seem to have reported nothing for its duration.
 */
function judgedTimeOf(
  { answeredAt = Number.NEGATIVE_INFINITY }: CheckedSession,
  now: number,
): number {
  return now - answeredAt <= maxAnswerAgeMs ? now : answeredAt
}

function stateWith(
  session: CheckedSession,
  runs: readonly FiniteRun[],
  speedFactor: number,
  judgedAt: number,
): RunnerState {
  const isLearned = runs.some(({ kind }) => kind.image !== undefined)
  // Members of a gang wait for each other.
  const judged = runs.filter(
    ({ task }) => isFullSpeedRun(task, session.rack) && task.step.definition.isGang !== true,
  )
  const progress = judged.map(({ allocation, startedAt, estimate }) => ({
    startedAt,
    progressAt: allocation.percentAt,
    expectedMs: estimate.meanMs * Math.max(1, speedFactor),
  }))
  return isLearned ? runnerStateOf(progress, session.lastDoneAt, judgedAt) : 'unknown'
}

/** Stops a run if it is stalled; returns whether it is. */
function stopIfStalled(
  { runnerFailures, log }: StallDetectorOptions,
  session: CheckedSession,
  { allocation, task, kind, estimate, startedAt }: FiniteRun,
  { speedFactor, state, judgedAt }: { speedFactor: number; state: RunnerState; judgedAt: number },
  now: number,
): boolean {
  const { definition, job } = task.step
  if (definition.isGang === true) return false
  const { percentAt: progressAt, percent, taskName, runNumber } = allocation
  const estimateMs = estimate.meanMs
  const run: ObservedRun = { startedAt, progressAt, estimateMs }
  if (kind.image !== undefined) {
    run.speedFactor = speedFactor
    run.isRunnerStuck = state === 'stuck'
  }
  const asOf = kind.image === undefined ? now : judgedAt
  if (!isStalled(run, asOf)) return false
  // Beside runs that progress, a run without progress may be one of the few long tasks.
  if (kind.image !== undefined && state === 'working')
    run.longMs = estimate.quantileMs(longQuantile)
  if (!isStalled(run, asOf)) return false
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
  return true
}
