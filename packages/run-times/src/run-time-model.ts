import { initialSlope, KeyStatistics, type WeightedPoint } from './key-statistics.js'
import { decodeRow, encodeRows, type LearnedRow, type RowProblem } from './learned-rows.js'
import {
  assumedDistribution,
  meanExcess,
  quantileOf,
  type Distribution,
} from './residual-histogram.js'
import { createLevelKeyCache, type LevelKeys, type TaskKind } from './task-kind.js'

/** Most keys that are kept; the least recently used ones are evicted. */
export const maxKeys = 512

/** Most runs that the mean of a queue counts; the newest one has a weight of at least 0.05. */
const maxQueueWeight = 20

/** Number of runs of a queue from which its mean has its full weight, `1 - initialSlope`. */
const runsForFullQueueWeight = 10

/**
 * Most runs that the mean of an image or a size class counts. With 3 in 100 runs seven times as long
 * as the others, its logarithm varies by 0.02 then.
 */
const maxImageWeight = 100

/**
 * Weight of the coarser level in runs. A new image counts at two levels, so that with a smaller weight
 * one of the long runs would move its estimate by more than half of its logarithm.
 */
const coarserWeight = 3

/**
 * Longest time that a run has run when it is first passed as active, in milliseconds; a multiple of the
 * interval of 200 ms between two checks. Of runs that are older, for example at a takeover, the long
 * ones are over-represented, so they don't count.
 */
export const maxFirstAgeMs = 500

/** Most runs of a key that is replaced by what an earlier model has learned of it. */
const maxReplacedWeight = 5

/** A run that ended as done. */
export interface FinishedRun extends TaskKind {
  /** Its run time, in milliseconds. */
  ms: number
}

/** A run that has not ended. */
export interface ActiveRun extends TaskKind {
  /** The same object each time that the run is passed. */
  id: object
  /** How long it has run, in milliseconds. */
  ms: number
}

/** Expected run time of a task. */
export interface RunTimeEstimate {
  /** Geometric mean, so that single long runs do not dominate it; in milliseconds. */
  meanMs: number
  /** Number of runs of the image behind it, at most 100; 0 for a kind without an image. */
  runs: number
  /** Returns the run time that a share `q` of the runs does not exceed, in milliseconds. */
  quantileMs: (q: number) => number
}

/** Learns run times from finished runs. */
export interface RunTimeModel {
  /** Number of keys for which runs were observed. */
  readonly keyCount: number
  /** Number of observations, by which a caller knows whether there is something new to store. */
  readonly observations: number
  /** Adds a run that ended as done; runs that were stopped, were lost or failed must not be added. */
  observe(run: FinishedRun): void
  /**
   * Replaces the runs that have not ended. Those beyond their expected time count as right-censored:
   * their run time is at least what they have run. They are not stored, and an end counts by itself.
   * Only runs that are first passed within 500 ms of their start count.
   */
  setActive(runs: readonly ActiveRun[]): void
  /** Returns the expected run time of a task. */
  estimate(kind: TaskKind): RunTimeEstimate
  /** Returns the expected run time of a task of which only the queue is known, in milliseconds. */
  estimateMs(queue: string, declaredMs: number): number
  /** Returns the rows that a later model restores. */
  encode(): LearnedRow[]
  /**
   * Adds what an earlier model has learned for keys that this one has not observed. Returns the rows
   * that were ignored because they are malformed or of another version.
   */
  restore(rows: readonly LearnedRow[]): RowProblem[]
}

/**
 * Creates a model of run times. Declared estimates are off by up to 90%, while tasks of an image
 * behave alike. The model has three levels: queue, image and size class. The estimate of a level is
 * shrunk towards the coarser one while it has few runs, and that of the queue towards the declared
 * one. Without any run, the estimate is the declared one.
 *
 * @example
 * const model = createRunTimeModel()
 * model.observe({ queue: 'finder', image: 'index:4', cpuMillis: 6_200, declaredMs: 900, ms: 655 })
 * const { meanMs, quantileMs } = model.estimate({ queue: 'finder', image: 'index:4', ...step })
 */
export function createRunTimeModel(): RunTimeModel {
  return new LevelledModel()
}

class LevelledModel implements RunTimeModel {
  observations = 0
  readonly #statistics = new Map<string, KeyStatistics>()
  /** By key of an image or size class, the runs that count as right-censored, as one point. */
  #censored = new Map<string, WeightedPoint>()
  /** Decays of the finest key of a run when the run was first passed; NaN if it was too old then. */
  readonly #firstDecays = new WeakMap<object, number>()
  readonly #levelKeysOf = createLevelKeyCache()
  #uses = 0

  get keyCount(): number {
    return this.#statistics.size
  }

  observe(run: FinishedRun): void {
    const x = logOf(run.declaredMs)
    const y = logOf(run.ms)
    const keys = this.#levelKeysOf(run)
    // All levels are predicted before one is changed, so that residuals are those of predictions.
    const residuals = keys.map((_, level) => y - this.#predict(keys.slice(0, level + 1), x))
    for (const [level, key] of keys.entries())
      this.#useOrCreate(key, level).add(x, y, residuals[level] ?? 0)
    this.#evict()
    this.observations += 1
  }

  setActive(runs: readonly ActiveRun[]): void {
    const censored = new Map<string, WeightedPoint>()
    const distributions = new Map<LevelKeys, Distribution>()
    for (const run of runs) {
      const keys = this.#levelKeysOf(run)
      const finest = this.#statistics.get(keys.at(-1) ?? '')
      const decays = run.ms > maxFirstAgeMs ? Number.NaN : (finest?.decays ?? 0)
      const firstDecays = this.#firstDecays.get(run.id) ?? decays
      this.#firstDecays.set(run.id, firstDecays)
      if (Number.isNaN(firstDecays)) continue
      const x = logOf(run.declaredMs)
      const elapsed = logOf(run.ms)
      const residual = elapsed - this.#predict(keys, x, false)
      if (residual <= 0 || keys.length === 1) continue
      const distribution = distributions.get(keys) ?? this.#distribution(keys)
      distributions.set(keys, distribution)
      const y = elapsed + meanExcess(distribution, residual)
      // A long run is seen in more checks than a short one; it counts as one run of its start time.
      const weight = finest?.weightSince(firstDecays) ?? 1
      for (const key of keys.slice(1)) addPoint(censored, key, { x, y, weight })
    }
    this.#censored = censored
  }

  estimate(kind: TaskKind): RunTimeEstimate {
    const keys = this.#levelKeysOf(kind)
    for (const key of keys) this.#use(key)
    const log = this.#predict(keys, logOf(kind.declaredMs))
    return {
      meanMs: Math.exp(log),
      runs: keys[1] === undefined ? 0 : (this.#statistics.get(keys[1])?.weight ?? 0),
      quantileMs: q => Math.exp(log + quantileOf(this.#distribution(keys), q)),
    }
  }

  estimateMs(queue: string, declaredMs: number): number {
    return this.estimate({ queue, cpuMillis: 0, declaredMs }).meanMs
  }

  encode(): LearnedRow[] {
    return encodeRows([...this.#statistics].map(([key, stats]) => ({ key, ...stats.encode() })))
  }

  restore(rows: readonly LearnedRow[]): RowProblem[] {
    const problems: RowProblem[] = []
    for (const row of rows) {
      const decoded = decodeRow(row)
      if (!decoded.isValid) {
        problems.push(decoded.problem)
        continue
      }
      for (const { key, ...state } of decoded.keys) {
        const known = this.#statistics.get(key)
        // The rows may be read late, when a few runs have been observed already.
        if (known !== undefined && known.weight > maxReplacedWeight) continue
        if (known === undefined && this.#statistics.size >= maxKeys) continue
        const stats = new KeyStatistics(maxWeightOf(key.split('|').length - 1))
        stats.restore(state)
        this.#statistics.set(key, stats)
      }
    }
    return problems
  }

  /** Returns the logarithm of the expected run time at the finest of the levels. */
  #predict(keys: readonly string[], x: number, isCensoredUsed = true): number {
    const [queueKey = ''] = keys
    let predicted = predictQueue(this.#statistics.get(queueKey), x)
    // Placement passes call this for each step of each job, so it creates no iterators.
    for (let level = 1; level < keys.length; level++) {
      const key = keys[level] ?? ''
      const stats = this.#statistics.get(key)
      const censored = isCensoredUsed ? this.#censored.get(key) : undefined
      if (stats === undefined && censored === undefined) continue
      const { y, weight } = (stats ?? noRuns).predict(x, censored)
      predicted += (weight / (weight + coarserWeight)) * (y - predicted)
    }
    return predicted
  }

  #distribution(keys: LevelKeys): Distribution {
    return keys.reduce<Distribution>((coarser, key) => {
      const stats = this.#statistics.get(key)
      return stats === undefined ? coarser : stats.residuals.shrunkTowards(coarser)
    }, assumedDistribution)
  }

  #use(key: string): KeyStatistics | undefined {
    const stats = this.#statistics.get(key)
    if (stats !== undefined) stats.lastUsed = this.#uses += 1
    return stats
  }

  #useOrCreate(key: string, level: number): KeyStatistics {
    const known = this.#use(key)
    if (known !== undefined) return known
    const created = new KeyStatistics(maxWeightOf(level))
    created.lastUsed = this.#uses += 1
    this.#statistics.set(key, created)
    return created
  }

  #evict(): void {
    while (this.#statistics.size > maxKeys) {
      let oldest: { key: string; lastUsed: number } | undefined
      for (const [key, { lastUsed }] of this.#statistics)
        if (oldest === undefined || lastUsed < oldest.lastUsed) oldest = { key, lastUsed }
      this.#statistics.delete(oldest?.key ?? '')
    }
  }
}

const noRuns = new KeyStatistics(maxImageWeight)

/** Returns the logarithm of the expected run time of a task of a queue of which no more is known. */
function predictQueue(stats: KeyStatistics | undefined, x: number): number {
  if (stats === undefined) return x
  const fullness = Math.min(1, stats.weight / runsForFullQueueWeight)
  const meanWeight = fullness * (1 - initialSlope)
  return meanWeight * stats.meanY + (1 - meanWeight) * x
}

function maxWeightOf(level: number): number {
  return level === 0 ? maxQueueWeight : maxImageWeight
}

function addPoint(points: Map<string, WeightedPoint>, key: string, point: WeightedPoint): void {
  const sum = points.get(key)
  if (sum === undefined) {
    points.set(key, { ...point })
    return
  }
  sum.weight += point.weight
  const share = point.weight / sum.weight
  sum.x += share * (point.x - sum.x)
  sum.y += share * (point.y - sum.y)
}

/** Logarithm of a duration; those below 1 ms count as 1 ms. */
function logOf(ms: number): number {
  return Math.log(Math.max(1, ms))
}
