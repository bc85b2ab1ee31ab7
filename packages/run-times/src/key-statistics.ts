import { ResidualHistogram } from './residual-histogram.js'

/** Slope of the line before any run: the weight that the declared estimate has in the queue's mean. */
export const initialSlope = 0.3

/**
 * Weight of the initial slope, as a sum of squared deviations of logarithms. Declared estimates that are
 * off by up to 90% reach it in about four runs.
 */
const initialSlopeWeight = 2

/** Most runs that the histogram of residuals counts, so that a tail of 1% consists of several runs. */
const maxHistogramWeight = 400

/** What is stored of the statistics of a key. */
export interface KeyState {
  weight: number
  meanX: number
  meanY: number
  sxx: number
  sxy: number
  residuals: number[]
}

/** A point that counts with a weight: logarithms of declared and actual run time. */
export interface WeightedPoint {
  x: number
  y: number
  weight: number
}

/**
 * Statistics of the runs of one key: the line by which the logarithm of the run time (y) follows the
 * logarithm of the declared estimate (x), and the histogram of its residuals. If declared estimates say
 * nothing within a key, the slope of the line tends to 0; if they are right, it tends to 1.
 */
export class KeyStatistics {
  /** When the key was last used, as a count of uses. */
  lastUsed = 0
  /** Number of runs that took away weight from the earlier ones. */
  decays = 0
  readonly residuals = new ResidualHistogram()
  readonly #maxWeight: number
  #weight = 0
  #meanX = 0
  #meanY = 0
  #sxx = 0
  #sxy = 0

  /** The newest run has a weight of at least 1 in `maxWeight`. */
  constructor(maxWeight: number) {
    this.#maxWeight = maxWeight
  }

  /** Number of runs that the mean counts, at most `maxWeight`. */
  get weight(): number {
    return this.#weight
  }

  get meanY(): number {
    return this.#meanY
  }

  /** Adds a run whose run time differs by the factor exp(`residual`) from what was predicted. */
  add(x: number, y: number, residual: number): void {
    const isFull = this.#weight >= this.#maxWeight
    if (isFull) this.decays += 1
    const kept = isFull ? 1 - 1 / this.#maxWeight : 1
    this.#weight = isFull ? this.#maxWeight : this.#weight + 1
    const newestWeight = 1 / this.#weight
    const dx = x - this.#meanX
    const dy = y - this.#meanY
    this.#meanX += newestWeight * dx
    this.#meanY += newestWeight * dy
    this.#sxx = kept * this.#sxx + (1 - newestWeight) * dx * dx
    this.#sxy = kept * this.#sxy + (1 - newestWeight) * dx * dy
    this.residuals.add(residual, maxHistogramWeight)
  }

  /** What weight a run that began at a number of decays has now; its end would have counted fully. */
  weightSince(decays: number): number {
    return (1 - 1 / this.#maxWeight) ** Math.max(0, this.decays - decays)
  }

  /**
   * Returns the value of the line at `x`, with the weight of the runs behind it; `extra` counts as one
   * more point.
   */
  predict(x: number, extra?: WeightedPoint): { y: number; weight: number } {
    const slope = (this.#sxy + initialSlopeWeight * initialSlope) / (this.#sxx + initialSlopeWeight)
    const boundedSlope = Math.min(1, Math.max(0, slope))
    const weight = this.#weight + (extra?.weight ?? 0)
    if (weight === 0) return { y: 0, weight }
    const share = extra === undefined ? 0 : extra.weight / weight
    const meanX = this.#meanX + share * ((extra?.x ?? 0) - this.#meanX)
    const meanY = this.#meanY + share * ((extra?.y ?? 0) - this.#meanY)
    return { y: meanY + boundedSlope * (x - meanX), weight }
  }

  encode(): KeyState {
    return {
      weight: rounded(this.#weight),
      meanX: rounded(this.#meanX),
      meanY: rounded(this.#meanY),
      sxx: rounded(this.#sxx),
      sxy: rounded(this.#sxy),
      residuals: this.residuals.encode(),
    }
  }

  restore({ weight, meanX, meanY, sxx, sxy, residuals }: KeyState): void {
    this.#weight = Math.min(weight, this.#maxWeight)
    this.#meanX = meanX
    this.#meanY = meanY
    this.#sxx = sxx
    this.#sxy = sxy
    this.residuals.restore(residuals)
  }
}

/** Four decimals of a logarithm are 0.01% of a run time. */
function rounded(value: number): number {
  return Math.round(value * 10_000) / 10_000
}
