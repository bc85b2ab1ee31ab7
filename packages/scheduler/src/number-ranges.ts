/** A range of whole numbers, both ends included. */
export type NumberRange = [first: number, last: number]

/**
 * A set of whole numbers that takes memory for each contiguous range only.
 *
 * @example
 * const complete = new NumberRanges([[0, 99]])
 * complete.add(100)
 * complete.has(57) // true
 */
export class NumberRanges {
  /** Sorted, with a gap between any two. */
  readonly #ranges: NumberRange[] = []
  #size = 0

  constructor(ranges: readonly NumberRange[] = []) {
    for (const [first, last] of ranges) {
      if (last >= first) this.#insert(first, last)
    }
  }

  /** Number of numbers in the set. */
  get size(): number {
    return this.#size
  }

  has(number: number): boolean {
    return this.endOfRange(number) !== undefined
  }

  /** The last number of the range that holds the number; undefined if the set does not have it. */
  endOfRange(number: number): number | undefined {
    const range = this.#ranges[this.#indexOfRange(number)]
    return range !== undefined && range[0] <= number ? range[1] : undefined
  }

  add(number: number): void {
    this.#insert(number, number)
  }

  toJSON(): NumberRange[] {
    return this.#ranges.map(([first, last]) => [first, last])
  }

  /** Index of the first range that ends at the number or after it. */
  #indexOfRange(number: number): number {
    let low = 0
    let high = this.#ranges.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((this.#ranges[middle]?.[1] ?? 0) < number) low = middle + 1
      else high = middle
    }
    return low
  }

  #insert(first: number, last: number): void {
    const from = this.#indexOfRange(first - 1)
    const merged: NumberRange = [first, last]
    let to = from
    for (;;) {
      const range = this.#ranges[to]
      if (range === undefined || range[0] > last + 1) break
      merged[0] = Math.min(merged[0], range[0])
      merged[1] = Math.max(merged[1], range[1])
      this.#size -= range[1] - range[0] + 1
      to += 1
    }
    this.#size += merged[1] - merged[0] + 1
    this.#ranges.splice(from, to - from, merged)
  }
}
