import type { JobQueue } from './configuration.js'
import type { StepExecution } from './job-execution.js'
import { compareClass, lateTier, stepDueAt, type Urgency } from './urgency.js'
import type { WeightedShares } from './weighted-shares.js'

/**
 * Time from which a job with nothing running gets its next run before other jobs get further ones while
 * its pool is nearly free, in milliseconds; callers are promised a run within 3 s.
 */
export const longWaitMs = 1_000

/** A startable step with what decides its place in the order. */
export interface RankedStep {
  step: StepExecution
  queue: JobQueue
  urgency: Urgency
}

/** A step whose tasks may start now. */
export interface StartTurn extends RankedStep {
  /** Only one task may start. */
  isSingle: boolean
}

/** Input of {@link startTurns}. The functions see the starts of the turns so far. */
export interface StartTurnsInput {
  /** In the order of `compareUrgency`. */
  ranked: readonly RankedStep[]
  shares: WeightedShares | undefined
  /** Whether a task of a step may find a runner; false for a step whose turns are over. */
  mayStart: (step: StepExecution, queue: JobQueue) => boolean
  /** Whether the job of a step has no run. */
  isIdle: (step: StepExecution) => boolean
  /** Whether at most half of a pool is in use. */
  isHalfFree: (pool: string) => boolean
  /** Unix milliseconds. */
  wallNow: number
}

/**
 * Gives the startable steps of a pass their turns. Under overload neither a burst of one organisation nor
 * jobs with many tiny tasks may keep others from running:
 *
 * - Starts of a pass are limited, so while a pool is nearly free, jobs that have waited long with nothing
 *   running first get one run each, one job of each organisation after another.
 * - Among steps of the same class, the next task is one of the organisation that has reserved the least
 *   of the pool for its weight, so one under its share goes before one above it.
 * - Among these, late jobs with nothing running go before other late steps: those that have begun with all
 *   their tasks, as they would go on one task at a time otherwise, then those that have waited long with
 *   one run each.
 *
 * A step can have several turns, each of which continues where the one before stopped.
 *
 * @example
 * for (const turn of startTurns(input)) startTasks(turn)
 */
export function* startTurns(input: StartTurnsInput): Generator<StartTurn> {
  const { ranked, shares, mayStart } = input
  let isLongWaitDone = false
  for (const steps of classesOf(ranked)) {
    const [{ urgency }] = steps
    // Lasting tasks are replaced within seconds, however long others have waited.
    if (!isLongWaitDone && urgency.tier > 0) {
      isLongWaitDone = true
      yield* longWaitTurns(input)
    }
    const left = steps.filter(({ step, queue }) => mayStart(step, queue))
    const isLate = urgency.tier === lateTier
    if (urgency.tier > 0 && shares?.decides(urgency.excessRank === 1) === true)
      yield* sharedTurns(left, isLate, shares, input)
    else {
      if (isLate) {
        for (const each of left) {
          if (goesFirst(each, input)) yield { ...each, isSingle: !each.step.job.isPlaced }
        }
      }
      for (const each of left) yield { ...each, isSingle: false }
    }
  }
}

/** Whether a late step has its turn before the others: its job has nothing running and was kept waiting. */
function goesFirst({ step }: RankedStep, { isIdle, wallNow }: StartTurnsInput): boolean {
  if (!isIdle(step)) return false
  return step.job.isPlaced || wallNow - stepDueAt(step) >= longWaitMs
}

/** The steps of one organisation in one pool that have not had their turn. */
interface Lane {
  pool: string
  organisation: string
  steps: RankedStep[]
  /** Position of the next step that may get its first run, while `isFirstRun`, or any run. */
  next: number
  isFirstRun: boolean
}

/** One task at a time, each of the organisation that has reserved the least for its weight. */
function* sharedTurns(
  steps: readonly RankedStep[],
  isLate: boolean,
  shares: WeightedShares,
  input: StartTurnsInput,
): Generator<StartTurn> {
  const { mayStart } = input
  const begunIdle = new Set(steps.filter(each => each.step.job.isPlaced && input.isIdle(each.step)))
  const lanes = new Map<string, Lane>()
  for (const each of steps) {
    const { pool } = each.queue
    const organisation = organisationOf(each.step)
    const key = `${pool}\0${organisation}`
    const lane = lanes.get(key)
    if (lane === undefined)
      lanes.set(key, { pool, organisation, steps: [each], next: 0, isFirstRun: isLate })
    else lane.steps.push(each)
  }
  /** Finds the next step of a lane that may start; undefined if there is none left. */
  const nextOf = (lane: Lane): RankedStep | undefined => {
    for (;;) {
      const each = lane.steps[lane.next]
      if (each === undefined) {
        if (!lane.isFirstRun) return undefined
        lane.isFirstRun = false
        lane.next = 0
      } else if (
        mayStart(each.step, each.queue) &&
        (!lane.isFirstRun || begunIdle.has(each) || goesFirst(each, input))
      )
        return each
      else lane.next += 1
    }
  }
  const open = new Set(lanes.values())
  while (open.size > 0) {
    let least: { lane: Lane; level: number } | undefined
    for (const lane of open) {
      const level = shares.levelOf(lane.pool, lane.organisation)
      if (least === undefined || level < least.level) least = { lane, level }
    }
    if (least === undefined) return
    const each = nextOf(least.lane)
    if (each === undefined) open.delete(least.lane)
    else yield { ...each, isSingle: true }
  }
}

/** One turn of each idle job that has waited long, while half of its pool is free. */
function* longWaitTurns(input: StartTurnsInput): Generator<StartTurn> {
  const { ranked, isIdle, isHalfFree, wallNow } = input
  const pools = new Set([...new Set(ranked.map(({ queue }) => queue.pool))].filter(isHalfFree))
  if (pools.size === 0) return
  const turnsOf = new Map<string, number>()
  const waiting: { each: RankedStep; turn: number }[] = []
  for (const each of ranked) {
    const { step, queue, urgency } = each
    if (urgency.tier === 0 || !pools.has(queue.pool)) continue
    if (wallNow - stepDueAt(step) < longWaitMs || !isIdle(step)) continue
    const organisation = organisationOf(step)
    const turn = turnsOf.get(organisation) ?? 0
    turnsOf.set(organisation, turn + 1)
    waiting.push({ each, turn })
  }
  waiting.sort((a, b) => a.turn - b.turn)
  for (const { each } of waiting) {
    if (isIdle(each.step) && isHalfFree(each.queue.pool)) yield { ...each, isSingle: true }
  }
}

/** The runs of steps of the same class. */
function* classesOf(ranked: readonly RankedStep[]): Generator<[RankedStep, ...RankedStep[]]> {
  let current: [RankedStep, ...RankedStep[]] | undefined
  for (const each of ranked) {
    if (current !== undefined && compareClass(current[0].urgency, each.urgency) === 0)
      current.push(each)
    else {
      if (current !== undefined) yield current
      current = [each]
    }
  }
  if (current !== undefined) yield current
}

function organisationOf({ job }: StepExecution): string {
  return job.definition.organisation ?? ''
}
