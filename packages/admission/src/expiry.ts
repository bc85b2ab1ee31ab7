import type { Clock } from '@bulrushbridge/errors'
import { IndexedHeap } from '@bulrushbridge/team-share'
import type { Waiter } from './team-line.js'
import type { Timers } from './types.js'

const systemTimers: Timers = {
  set: (fn, delayMs) => setTimeout(fn, delayMs).unref(),
  clear: timer => {
    clearTimeout(timer as NodeJS.Timeout)
  },
}

/** Options of {@link Expiry}. */
export interface ExpiryOptions {
  clock: Clock
  timers: Timers | undefined
  /** Called when the earliest deadline has passed. */
  onDue: () => void
}

/** The queued requests of all teams in the order of their deadlines, with one timer for all. */
export class Expiry<R> {
  readonly #opts: ExpiryOptions
  readonly #timers: Timers
  readonly #heap = new IndexedHeap<Waiter<R>>((a, b) => a.req.deadline < b.req.deadline)
  #timer: unknown
  #timerAt = Number.POSITIVE_INFINITY

  constructor(opts: ExpiryOptions) {
    this.#opts = opts
    this.#timers = opts.timers ?? systemTimers
  }

  get size(): number {
    return this.#heap.size
  }

  push(waiter: Waiter<R>): void {
    this.#heap.push(waiter.expiry)
    if (waiter.req.deadline < this.#timerAt) this.#arm()
  }

  remove(waiter: Waiter<R>): void {
    this.#heap.remove(waiter.expiry)
    if (this.#heap.size === 0) this.#arm()
  }

  /** The request whose deadline passed first, if any has passed. */
  due(): Waiter<R> | undefined {
    const waiter = this.#heap.peek()
    return waiter && waiter.req.deadline <= this.#opts.clock.now() ? waiter : undefined
  }

  /** Sets the timer to the earliest deadline. */
  #arm(): void {
    if (this.#timer !== undefined) this.#timers.clear(this.#timer)
    this.#timer = undefined
    this.#timerAt = this.#heap.peek()?.req.deadline ?? Number.POSITIVE_INFINITY
    if (this.#timerAt === Number.POSITIVE_INFINITY) return
    this.#timer = this.#timers.set(
      () => {
        this.#opts.onDue()
        this.#arm()
      },
      Math.max(1, Math.ceil(this.#timerAt - this.#opts.clock.now())),
    )
  }
}
