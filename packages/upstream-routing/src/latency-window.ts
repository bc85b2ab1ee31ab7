/** Number of latest latencies that are kept per runner. */
const maxSamples = 32
/** Number of samples from which a median is given. */
const minSamples = 8

/** The latest latencies of one runner, in milliseconds. */
export class LatencyWindow {
  readonly #samples: number[] = []
  #nextIndex = 0

  add(ms: number): void {
    this.#samples[this.#nextIndex] = ms
    this.#nextIndex = (this.#nextIndex + 1) % maxSamples
  }

  clear(): void {
    this.#samples.length = 0
    this.#nextIndex = 0
  }

  /** The median, or undefined with fewer than 8 samples. */
  median(): number | undefined {
    return this.#samples.length < minSamples ? undefined : median(this.#samples)
  }
}

/**
 * The median of a list, the lower of the two middle values if the length is even; undefined if
 * empty.
 */
export function median(values: number[]): number | undefined {
  return values.toSorted((a, b) => a - b)[(values.length - 1) >> 1]
}
