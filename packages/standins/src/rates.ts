/** Limits a rate by delaying requests: they start at even intervals, in order of arrival. */
export class RateLimiter {
  #nextStartAt = 0

  async wait(perSecond: number): Promise<void> {
    if (perSecond <= 0) return
    const now = performance.now()
    const startAt = Math.max(now, this.#nextStartAt)
    this.#nextStartAt = startAt + 1_000 / perSecond
    if (startAt > now) await new Promise(resolve => setTimeout(resolve, startAt - now))
  }
}

/** Counts events in total and in the last complete second. */
export class RateCounter {
  total = 0
  #second = 0
  #currentCount = 0
  #previousCount = 0

  add(count = 1): void {
    this.#startNewSecond()
    this.total += count
    this.#currentCount += count
  }

  /** Events in the last complete second. */
  perSecond(): number {
    this.#startNewSecond()
    return this.#previousCount
  }

  #startNewSecond(): void {
    const second = Math.floor(performance.now() / 1_000)
    if (second === this.#second) return
    this.#previousCount = second === this.#second + 1 ? this.#currentCount : 0
    this.#currentCount = 0
    this.#second = second
  }
}
