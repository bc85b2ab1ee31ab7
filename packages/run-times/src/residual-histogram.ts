/** Width of a bin; a residual is the logarithm of actual over predicted run time. */
const binWidth = 0.2

/** Lowest residual that has a bin of its own, a run 20 times as fast as predicted. */
const lowestResidual = -3

/** Number of bins; the highest one begins at a run 67 times as long as predicted. */
const binCount = 37

/** Standard deviation of the residuals that are assumed before any run: estimates are rough. */
const assumedDeviation = 0.6

/** Share of tasks that are assumed to take `longFactor` times as long as the others before any run. */
const assumedLongShare = 0.03
const longFactor = 7

/**
 * Weight of the distribution of the coarser level, in runs. A tail of a few hundredths is not seen in
 * fewer runs than this.
 */
const coarserWeight = 20

/** Unit of the counts from which on they are scaled down, far from the largest number. */
const maxUnit = 1e9

/** Shares of the bins; they add up to 1. */
export type Distribution = readonly number[]

/**
 * Histogram of residuals with a fixed number of bins. Its counts are fractional, because older runs
 * lose weight; the integer counts of hdr-histogram cannot be scaled.
 */
export class ResidualHistogram {
  /** Counts in units of `#unit`, which grows instead of every count being reduced with each run. */
  readonly #counts = new Float64Array(binCount)
  #unit = 1
  #total = 0

  /** Adds a residual; the total weight stays at most `maxWeight`. */
  add(residual: number, maxWeight: number): void {
    if (this.#total >= maxWeight * this.#unit) this.#unit *= maxWeight / (maxWeight - 1)
    const bin = binOf(residual)
    this.#counts[bin] = (this.#counts[bin] ?? 0) + this.#unit
    this.#total += this.#unit
    if (this.#unit > maxUnit) this.restore(this.encode())
  }

  /** Returns the distribution, shrunk towards that of the coarser level while there are few runs. */
  shrunkTowards(coarser: Distribution): Distribution {
    const coarserUnits = coarserWeight * this.#unit
    const whole = this.#total + coarserUnits
    return coarser.map((share, bin) => ((this.#counts[bin] ?? 0) + coarserUnits * share) / whole)
  }

  /** Returns the number of the first bin that is not empty, and the counts from there on. */
  encode(): number[] {
    const counts = [...this.#counts].map(count => Math.round((count / this.#unit) * 10) / 10)
    const first = counts.findIndex(count => count > 0)
    if (first === -1) return []
    return [first, ...counts.slice(first, counts.findLastIndex(count => count > 0) + 1)]
  }

  /** Replaces the counts by those that `encode` returned; ignores counts beyond the last bin. */
  restore([first = 0, ...counts]: readonly number[]): void {
    this.#counts.fill(0)
    this.#unit = 1
    for (const [index, count] of counts.entries())
      if (first + index < binCount) this.#counts[first + index] = count
    this.#total = this.#counts.reduce((sum, count) => sum + count, 0)
  }
}

/** Distribution of residuals that is assumed before any run. */
export const assumedDistribution: Distribution = createAssumedDistribution()

/** Returns the residual that a share `q` of the runs does not exceed, interpolated within its bin. */
export function quantileOf(distribution: Distribution, q: number): number {
  let below = 0
  for (const [bin, share] of distribution.entries()) {
    if (share > 0 && below + share >= q) {
      const part = Math.max(0, (q - below) / share)
      return lowestResidual + (bin + part) * binWidth
    }
    below += share
  }
  return lowestResidual + binCount * binWidth
}

/** Returns by how much the residuals above `residual` exceed it on average; 0 if there are none. */
export function meanExcess(distribution: Distribution, residual: number): number {
  let weight = 0
  let sum = 0
  for (let bin = binOf(residual) + 1; bin < binCount; bin++) {
    const share = distribution[bin] ?? 0
    weight += share
    sum += share * (centreOf(bin) - residual)
  }
  return weight === 0 ? 0 : sum / weight
}

function binOf(residual: number): number {
  const bin = Math.floor((residual - lowestResidual) / binWidth)
  return Math.min(binCount - 1, Math.max(0, bin))
}

function centreOf(bin: number): number {
  return lowestResidual + (bin + 0.5) * binWidth
}

function createAssumedDistribution(): Distribution {
  const densities = Array.from({ length: binCount }, (_, bin) =>
    Math.exp(-((centreOf(bin) / assumedDeviation) ** 2) / 2),
  )
  const sum = densities.reduce((total, density) => total + density, 0)
  const longBin = binOf(Math.log(longFactor))
  return densities.map(
    (density, bin) =>
      (density / sum) * (1 - assumedLongShare) + (bin === longBin ? assumedLongShare : 0),
  )
}
