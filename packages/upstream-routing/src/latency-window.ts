/** Latest latencies kept per runner. */
const windowSize = 32
/** Fewer samples than this give no median. */
const minSamples = 8

/** The latest latencies of one runner, in milliseconds. */
export class LatencyWindow {
  readonly #samples: number[] = []
  #next = 0

  add(ms: number): void {
    this.#samples[this.#next] = ms
    this.#next = (this.#next + 1) % windowSize
  }

  clear(): void {
    this.#samples.length = 0
    this.#next = 0
  }

  /** The median, or undefined with too few samples. */
  median(): number | undefined {
    return this.#samples.length < minSamples ? undefined : median(this.#samples)
  }
}

/** Median of a non-empty list; the lower one of two. */
export function median(values: number[]): number | undefined {
  return values.toSorted((a, b) => a - b)[(values.length - 1) >> 1]
}
