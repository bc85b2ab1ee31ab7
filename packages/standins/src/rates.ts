/** Spaces requests evenly at a rate; those in excess wait in order of arrival. */
export class Pacer {
  #nextAt = 0

  async wait(perSecond: number): Promise<void> {
    if (perSecond <= 0) return
    const now = performance.now()
    const at = Math.max(now, this.#nextAt)
    this.#nextAt = at + 1_000 / perSecond
    if (at > now) await new Promise(resolve => setTimeout(resolve, at - now))
  }
}

/** Counts events in total and in the last complete second. */
export class RateCounter {
  total = 0
  #second = 0
  #current = 0
  #previous = 0

  add(count = 1): void {
    this.#roll()
    this.total += count
    this.#current += count
  }

  /** Events in the last complete second. */
  perSecond(): number {
    this.#roll()
    return this.#previous
  }

  #roll(): void {
    const second = Math.floor(performance.now() / 1_000)
    if (second === this.#second) return
    this.#previous = second === this.#second + 1 ? this.#current : 0
    this.#current = 0
    this.#second = second
  }
}
