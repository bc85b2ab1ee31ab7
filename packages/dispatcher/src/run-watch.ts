import {
  choosePace,
  isStalled,
  type PaceState,
  type RunnerHealth,
  type RunTimes,
  type ServedTail,
} from '@bulrushbridge/scheduler'
import type { Logger } from '@bulrushbridge/telemetry'
import type { Occupant } from './occupant.js'
import type { RunnerSession } from './runner-session.js'

/** Options of {@link createRunWatch}. */
export interface RunWatchOptions {
  sessions: ReadonlyMap<string, RunnerSession>
  times: RunTimes
  health: RunnerHealth
  log: Logger
}

/** Watches what runs: stalled runs, fillers beside serving tasks, and runners in shutdown. */
export interface RunWatch {
  /** Looks at all runs once. */
  check(): void
}

/**
 * Creates the watch of runs.
 *
 * @example
 * const watch = createRunWatch({ sessions, times, health, log })
 * watch.check()
 */
export function createRunWatch(opts: RunWatchOptions): RunWatch {
  const paces = new Map<string, PaceState>()
  return {
    check: () => {
      const now = performance.now()
      for (const session of opts.sessions.values()) {
        if (session.occupants.size === 0 || session.suspectSince !== undefined) continue
        for (const occupant of session.occupants.values()) {
          stopIfStalled(opts, session, occupant, now)
          stopIfLeaving(opts, session, occupant)
        }
        paceFillers(opts, session, paces, now)
      }
      for (const id of paces.keys()) if (!opts.sessions.has(id)) paces.delete(id)
    },
  }
}

function stopIfStalled(
  { times, health, log }: RunWatchOptions,
  session: RunnerSession,
  occupant: Occupant,
  now: number,
): void {
  const { task, state, confirmedAt, percentAt, percent, name, run } = occupant
  if (task === undefined || state !== 'present' || confirmedAt === undefined) return
  const { step, job } = task.step
  if (step.isLasting === true || step.isGang === true) return
  const estimateMs = times.estimateMs(job.job.queue, step.estimateMs)
  if (!isStalled({ startedAt: confirmedAt, progressAt: percentAt, estimateMs }, now)) return
  const ranMs = Math.round(now - confirmedAt)
  log.info('stalled run stopped', { task: name, run, runner: session.id, ranMs, percent })
  task.failedOn = session.id
  if (health.failed(session.id, job.job.id, now)) {
    log.warn('runner closed after failures', { runner: session.id })
  }
  void session.stop(occupant)
}

/** A lasting task moves while its runner is still there to confirm the end of its run. */
function stopIfLeaving({ log }: RunWatchOptions, session: RunnerSession, occupant: Occupant): void {
  if (session.entry?.isDraining !== true || occupant.state !== 'present') return
  if (occupant.task?.step.step.isLasting !== true) return
  const { name, run } = occupant
  log.info('run moved off a draining runner', { task: name, run, runner: session.id })
  void session.stop(occupant)
}

function paceFillers(
  { log }: RunWatchOptions,
  session: RunnerSession,
  paces: Map<string, PaceState>,
  now: number,
): void {
  const fillers: Occupant[] = []
  const tails: ServedTail[] = []
  for (const occupant of session.occupants.values()) {
    const step = occupant.task?.step.step
    if (step?.isFiller === true && occupant.state === 'present') fillers.push(occupant)
    else if (step?.targetMs !== undefined && occupant.usage !== undefined) {
      tails.push({ tailMs: occupant.usage, targetMs: step.targetMs })
    }
  }
  if (fillers.length === 0) {
    paces.delete(session.id)
    return
  }
  const before = paces.get(session.id) ?? { percent: 100, calmSince: undefined }
  const next = choosePace(before, tails, now)
  paces.set(session.id, next)
  if (next.percent !== before.percent) {
    const worst = Math.max(0, ...tails.map(({ tailMs, targetMs }) => tailMs / targetMs))
    const { percent } = next
    log.info('fillers paced', { runner: session.id, percent, fillers: fillers.length, worst })
  }
  for (const filler of fillers) {
    if (filler.pacedTo !== next.percent) void session.pace(filler, next.percent)
  }
}
