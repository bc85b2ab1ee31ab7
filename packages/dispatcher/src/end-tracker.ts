import type { ReportedEnd } from '@bulrushbridge/scheduler'

/**
 * Tracks which run ends of one incarnation of a runner (the time between two of its restarts) are
 * received, stored and acknowledged. A runner numbers its ends from 1 and repeats each one until it
 * is acknowledged.
 */
export class EndTracker {
  #received = 0
  #stored = 0
  #acknowledged = 0
  /** Resolves when all ends received so far are stored. */
  #whenStored: Promise<void> = Promise.resolve()
  /** Counts incarnations, so that a write that completes after a restart changes nothing. */
  #incarnation = 0

  /** Number of the last end up to which all are stored; a poll may acknowledge it. */
  get stored(): number {
    return this.#stored
  }

  /** Whether some received ends are not stored yet. */
  hasUnstoredEnds(): boolean {
    return this.#received > this.#stored
  }

  /** Whether every stored end has been acknowledged. */
  get isAcknowledged(): boolean {
    return this.#acknowledged === this.#stored
  }

  /** Whether every received end has been acknowledged. */
  get isFullyAcknowledged(): boolean {
    return this.#acknowledged === this.#received
  }

  /** Resolves when all ends received so far are stored. */
  get whenStored(): Promise<void> {
    return this.#whenStored
  }

  /** Calls `store` for each end not received before; it resolves when the end is stored. */
  receive(ends: readonly ReportedEnd[], store: (end: ReportedEnd) => Promise<void>): void {
    const incarnation = this.#incarnation
    const stored: Promise<void>[] = []
    for (const end of [...ends].sort((a, b) => a.number - b.number)) {
      if (end.number <= this.#received) continue
      this.#received = end.number
      stored.push(store(end))
    }
    if (stored.length === 0) return
    const last = this.#received
    // An acknowledgement covers all earlier ends, so it also waits for those of earlier reports.
    this.#whenStored = Promise.all([this.#whenStored, ...stored]).then(() => {
      if (this.#incarnation === incarnation) this.#stored = Math.max(this.#stored, last)
    })
  }

  /** Notes that the runner has received an acknowledgement up to `number`. */
  acknowledge(number: number): void {
    this.#acknowledged = Math.max(this.#acknowledged, number)
  }

  /** Starts again from 0, because the runner has restarted. */
  reset(): void {
    this.#incarnation += 1
    this.#received = 0
    this.#stored = 0
    this.#acknowledged = 0
    this.#whenStored = Promise.resolve()
  }
}
