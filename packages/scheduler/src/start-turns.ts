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
  isFirstOnly: boolean
  /** Tasks may start only while the organisation is under its share of the pool. */
  isWithinShare: boolean
}

/** Input of {@link startTurns}. The functions see the starts of the turns so far. */
export interface StartTurnsInput {
  /** In the order of `compareUrgency`. */
  ranked: readonly RankedStep[]
  shares: WeightedShares | undefined
  /** Whether a task of a step may find a runner; false costs little, as most steps wait in a full pool. */
  mayFit: (step: StepExecution, queue: JobQueue) => boolean
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
 * - Among steps of the same class, those of organisations under their share of the pool go first. A
 *   share may be reached in the middle of a step.
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
  const { ranked, shares, mayFit, isIdle, wallNow } = input
  let isLongWaitDone = false
  for (const steps of classesOf(ranked)) {
    const [{ urgency }] = steps
    // Lasting tasks are replaced within seconds, however long others have waited.
    if (!isLongWaitDone && urgency.tier > 0) {
      isLongWaitDone = true
      yield* longWaitTurns(input)
    }
    const decides = urgency.tier > 0 && shares?.decides(urgency.excessRank === 1) === true
    let left: readonly RankedStep[] = steps
    for (const isWithinShare of decides ? [true, false] : [false]) {
      const mayStart = ({ step, queue }: RankedStep) =>
        !isWithinShare || shares?.isUnderShare(queue.pool, organisationOf(step)) === true
      left = left.filter(({ step, queue }) => mayFit(step, queue))
      if (urgency.tier === lateTier) {
        for (const each of left) {
          if (!mayStart(each) || !isIdle(each.step)) continue
          const { isPlaced } = each.step.job
          if (isPlaced || hasWaitedLong(each, wallNow))
            yield { ...each, isFirstOnly: !isPlaced, isWithinShare }
        }
      }
      for (const each of left)
        if (mayStart(each)) yield { ...each, isFirstOnly: false, isWithinShare }
    }
  }
}

function hasWaitedLong({ step }: RankedStep, wallNow: number): boolean {
  return wallNow - stepDueAt(step) >= longWaitMs
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
    if (isIdle(each.step) && isHalfFree(each.queue.pool))
      yield { ...each, isFirstOnly: true, isWithinShare: false }
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
