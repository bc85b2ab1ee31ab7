/** Orders a second that a dispatcher sends if the platform states no rate. */
export const defaultMachineOrdersPerSecond = 32

/**
 * Share of the stated rate that is used. The platform counts the orders of all hosts, and those of an
 * earlier dispatcher may still arrive.
 */
const usedShare = 0.8

/**
 * Unused capacity accumulates for at most this long, in milliseconds. With a fifth of the rate unused,
 * the orders of any second stay within the stated rate.
 */
const maxSavedMs = 250

/** Rejections within this time count as one, because orders are sent in groups; in milliseconds. */
const rejectionWindowMs = 250

/** Time in which the rate recovers from a rejection if no other follows, in milliseconds. */
const recoveryMs = 2_000

/** Smallest share of the rate after repeated rejections, so that a wave still makes progress. */
const minFactor = 0.05

/**
 * Limits the orders to machines when demand passes from one pool to another: all at once are more than
 * the platform accepts, and a fixed small number delivers most machines after the burst. Moves and
 * upkeeps share the limit.
 *
 * @example
 * const rate = new MachineOrderRate(215, performance.now())
 * const count = Math.min(planned.length, rate.available(now))
 * rate.take(count, now)
 */
export class MachineOrderRate {
  readonly #perMs: number
  #saved: number
  #updatedAt: number
  /** Share of the rate that is used after the last rejection; it rises back to 1. */
  #factor = 1
  #rejectedAt = Number.NEGATIVE_INFINITY

  /** `perSecond` is the rate that the platform states; times are on one clock, in milliseconds. */
  constructor(perSecond: number, now: number) {
    this.#perMs = (perSecond * usedShare) / 1_000
    this.#saved = this.#capacity
    this.#updatedAt = now
  }

  /** Number of orders that may be sent now. */
  available(now: number): number {
    this.#update(now)
    return Math.max(0, Math.floor(this.#saved))
  }

  /**
   * Counts orders that are sent. Repeated orders are sent in any case, so the balance may become negative,
   * by at most the orders of a second; otherwise no new order would follow for a long time.
   */
  take(count: number, now: number): void {
    this.#update(now)
    this.#saved = Math.max(-this.#perMs * 1_000, this.#saved - count)
  }

  /** Halves the rate after the platform has rejected orders, for example with 429; returns whether it did. */
  noteRejected(now: number): boolean {
    this.#update(now)
    if (now - this.#rejectedAt < rejectionWindowMs) return false
    this.#rejectedAt = now
    this.#factor = Math.max(minFactor, this.#factor / 2)
    this.#saved = Math.min(this.#saved, 0)
    return true
  }

  get #capacity(): number {
    return Math.max(1, this.#perMs * maxSavedMs)
  }

  #update(now: number): void {
    const passedMs = Math.max(0, now - this.#updatedAt)
    this.#updatedAt = now
    this.#factor = Math.min(1, this.#factor + passedMs / recoveryMs)
    this.#saved = Math.min(this.#capacity, this.#saved + passedMs * this.#perMs * this.#factor)
  }
}
