import type { ListedEnd } from '@bulrushbridge/scheduler'

/** Which ends of one life of a runner are taken in, stored and acknowledged. */
export class EndsLedger {
  #processed = 0
  #stored = 0
  #acknowledged = 0
  /** Resolves when all ends taken in are stored. */
  #storing: Promise<void> = Promise.resolve()
  /** Counts the lives, so that a store of an earlier one changes nothing. */
  #life = 0

  /** Highest end up to which all are stored; a look may acknowledge it. */
  get stored(): number {
    return this.#stored
  }

  /** Ends have been taken in that are not stored. */
  isBehind(): boolean {
    return this.#processed > this.#stored
  }

  /** Every end that was taken in has been acknowledged. */
  get isSettled(): boolean {
    return this.#acknowledged === this.#processed
  }

  /** Resolves when all ends taken in so far are stored. */
  get storing(): Promise<void> {
    return this.#storing
  }

  /** Takes in the ends that are new; `store` resolves when an end is stored. */
  take(ends: readonly ListedEnd[], store: (end: ListedEnd) => Promise<void>): void {
    const life = this.#life
    const stored: Promise<void>[] = []
    for (const end of [...ends].sort((a, b) => a.number - b.number)) {
      if (end.number <= this.#processed) continue
      this.#processed = end.number
      stored.push(store(end))
    }
    if (stored.length === 0) return
    const last = this.#processed
    // An acknowledgement covers all ends before it, so it waits for those of earlier reports too.
    this.#storing = Promise.all([this.#storing, ...stored]).then(() => {
      if (this.#life === life) this.#stored = Math.max(this.#stored, last)
    })
  }

  /** The runner has taken an acknowledgement. */
  acknowledge(number: number): void {
    this.#acknowledged = Math.max(this.#acknowledged, number)
  }

  /** The runner has begun anew and counts from 1. */
  reset(): void {
    this.#life += 1
    this.#processed = 0
    this.#stored = 0
    this.#acknowledged = 0
    this.#storing = Promise.resolve()
  }
}
