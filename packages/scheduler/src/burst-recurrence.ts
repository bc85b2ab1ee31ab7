import { z } from 'zod'

/** Schema of {@link DemandBurst}. */
export const demandBurstSchema = z.object({
  pool: z.string(),
  /** Unix milliseconds. */
  from: z.number(),
  /** Unix milliseconds. */
  until: z.number(),
  /** Mean arrival rate of work during the burst, in cores. */
  cores: z.number().min(0),
})

/** A demand burst of a pool that has ended. */
export type DemandBurst = z.infer<typeof demandBurstSchema>

/** Beginning of a burst, as input of {@link predictBursts}. */
export interface BurstStart {
  pool: string
  /** Unix milliseconds. */
  from: number
}

/** A burst that is expected to begin. */
export interface PredictedBurst extends BurstStart {
  /** Probability that it begins in this pool, from 0 to 1. */
  probability: number
}

/**
 * Largest deviation of an interval from the median at which it counts as regular, as a fraction of
 * the median. Starts of bursts are known to about 0.2 s, which is a twentieth of a burst of 4 s.
 */
const intervalTolerance = 0.2

/** Number of the newest intervals that are compared. */
const comparedIntervals = 6

/** Fraction of the compared intervals that must be regular. */
const regularFraction = 2 / 3

/**
 * Time after which a burst that has not begun is no longer predicted, in milliseconds, beyond three
 * times the usual deviation of its start. A start is noticed within about 0.3 s.
 */
const lateStartMs = 600

/**
 * Longest time for which one burst is predicted without having begun, in milliseconds. Keeping a
 * machine for that long costs as much as two moves.
 */
const maxPredictedMs = 2_600

/** Largest usual deviation at which a start is predicted, in milliseconds. */
const maxDeviationMs = 1_000

/** Number of bursts that are predicted one after another. */
const maxPredictedBursts = 3

/** A regular interval between bursts, in milliseconds. */
interface RegularInterval {
  meanMs: number
  /** Mean absolute deviation. */
  deviationMs: number
}

/**
 * Predicts the next bursts from the earlier ones. Addresses queues whose bursts follow one another,
 * each of some seconds, while a machine needs up to two seconds to reach the next pool.
 *
 * - Bursts of different pools at a regular interval: the next one begins an interval after the last
 *   one, in a pool that has followed the last one so far or whose last burst is the longest ago.
 * - Bursts of one pool at a regular interval, however the others behave.
 *
 * A burst that has not begun shortly after its time is no longer predicted.
 *
 * @example
 * const [next] = predictBursts(starts, ['finder', 'judge'], Date.now())
 */
export function predictBursts(
  starts: readonly BurstStart[],
  pools: readonly string[],
  now: number,
): PredictedBurst[] {
  const sequence = predictSequence(starts, pools, now)
  const own = pools.flatMap(pool => {
    if (sequence.some(burst => burst.pool === pool)) return []
    const ofPool = starts.filter(start => start.pool === pool)
    const interval = regularInterval(ofPool)
    const last = ofPool.at(-1)
    if (interval === undefined || last === undefined) return []
    return nextAfter(last, interval, now).map(from => ({ pool, from, probability: 1 }))
  })
  return [...sequence, ...own]
}

function predictSequence(
  starts: readonly BurstStart[],
  pools: readonly string[],
  now: number,
): PredictedBurst[] {
  const interval = regularInterval(starts)
  if (interval === undefined) return []
  const predicted: PredictedBurst[] = []
  const known = [...starts]
  let probability = 1
  while (predicted.length < maxPredictedBursts) {
    const last = known.at(-1)
    if (last === undefined) break
    const [from] = nextAfter(last, interval, now)
    if (from === undefined) break
    const successors = successorsOf(known, pools)
    const [likeliest] = successors
    if (likeliest === undefined) break
    for (const { pool, share } of successors)
      predicted.push({ pool, from, probability: probability * share })
    // The burst after an uncertain one is not worth a move.
    if (likeliest.share < 1) break
    probability *= likeliest.share
    known.push({ pool: likeliest.pool, from: last.from + interval.meanMs })
  }
  return predicted
}

function nextAfter(last: BurstStart, interval: RegularInterval, now: number): number[] {
  const due = last.from + interval.meanMs
  const from = due - interval.deviationMs
  const latest = Math.min(due + lateStartMs + 3 * interval.deviationMs, from + maxPredictedMs)
  return now > latest ? [] : [from]
}

/** Returns the pools that may follow the last burst, the likeliest first. */
function successorsOf(
  starts: readonly BurstStart[],
  pools: readonly string[],
): { pool: string; share: number }[] {
  const last = starts.at(-1)
  const counts = new Map<string, number>()
  let total = 0
  for (const [i, { pool }] of starts.entries()) {
    const next = starts[i + 1]
    if (next === undefined || pool !== last?.pool || next.pool === pool) continue
    counts.set(next.pool, (counts.get(next.pool) ?? 0) + 1)
    total += 1
  }
  const lastStarts = pools
    .filter(pool => pool !== last?.pool)
    .map(pool => ({
      pool,
      at: starts.findLast(start => start.pool === pool)?.from ?? Number.NEGATIVE_INFINITY,
    }))
  const oldest = Math.min(...lastStarts.map(({ at }) => at))
  const candidates = lastStarts.filter(({ at }) => at === oldest)
  // The rule counts like one experience, so that a single one that contradicts it is no certainty.
  for (const { pool } of candidates)
    counts.set(pool, (counts.get(pool) ?? 0) + 1 / candidates.length)
  return [...counts]
    .map(([pool, count]) => ({ pool, share: count / (total + 1) }))
    .sort((a, b) => b.share - a.share)
}

function regularInterval(starts: readonly BurstStart[]): RegularInterval | undefined {
  const intervals: number[] = []
  for (const [i, { from }] of starts.entries()) {
    const previous = starts[i - 1]
    if (previous !== undefined) intervals.push(from - previous.from)
  }
  const compared = intervals.slice(-comparedIntervals)
  const sorted = [...compared].sort((a, b) => a - b)
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0
  const regular = compared.filter(ms => Math.abs(ms - median) <= intervalTolerance * median)
  if (regular.length < 2 || regular.length < regularFraction * compared.length) return undefined
  const meanMs = regular.reduce((sum, ms) => sum + ms, 0) / regular.length
  const deviationMs = regular.reduce((sum, ms) => sum + Math.abs(ms - meanMs), 0) / regular.length
  return deviationMs > maxDeviationMs ? undefined : { meanMs, deviationMs }
}
