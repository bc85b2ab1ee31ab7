import type { Clock } from '@bulrushbridge/errors'
import { IndexedHeap } from '@bulrushbridge/team-share'
import type { QueuedRequest } from './team-queue.js'
import type { AdmissionTimers } from './types.js'

const systemTimers: AdmissionTimers = {
  set: (fn, delayMs) => setTimeout(fn, delayMs).unref(),
  clear: timer => {
    clearTimeout(timer as NodeJS.Timeout)
  },
}

/** Options of {@link DeadlineQueue}. */
export interface DeadlineQueueOptions {
  clock: Clock
  timers: AdmissionTimers | undefined
  /** Called when the earliest deadline has passed. */
  onDeadlinePassed: () => void
}

/**
 * The queued requests of all teams, ordered by deadline, with a single timer for the earliest one.
 */
export class DeadlineQueue<R> {
  readonly #opts: DeadlineQueueOptions
  readonly #timers: AdmissionTimers
  readonly #byDeadline = new IndexedHeap<QueuedRequest<R>>(
    (a, b) => a.req.deadline < b.req.deadline,
  )
  #timer: unknown
  #timerDeadline = Number.POSITIVE_INFINITY

  constructor(opts: DeadlineQueueOptions) {
    this.#opts = opts
    this.#timers = opts.timers ?? systemTimers
  }

  get size(): number {
    return this.#byDeadline.size
  }

  push(queued: QueuedRequest<R>): void {
    this.#byDeadline.push(queued.deadlineHandle)
    if (queued.req.deadline < this.#timerDeadline) this.#resetTimer()
  }

  remove(queued: QueuedRequest<R>): void {
    this.#byDeadline.remove(queued.deadlineHandle)
    if (this.#byDeadline.size === 0) this.#resetTimer()
  }

  /** Returns the request with the earliest deadline if that deadline has passed. */
  peekExpired(): QueuedRequest<R> | undefined {
    const queued = this.#byDeadline.peek()
    return queued && queued.req.deadline <= this.#opts.clock.now() ? queued : undefined
  }

  /** Replaces the timer by one for the earliest deadline; an empty queue has none. */
  #resetTimer(): void {
    if (this.#timer !== undefined) this.#timers.clear(this.#timer)
    this.#timer = undefined
    this.#timerDeadline = this.#byDeadline.peek()?.req.deadline ?? Number.POSITIVE_INFINITY
    if (this.#timerDeadline === Number.POSITIVE_INFINITY) return
    this.#timer = this.#timers.set(
      () => {
        this.#opts.onDeadlinePassed()
        this.#resetTimer()
      },
      Math.max(1, Math.ceil(this.#timerDeadline - this.#opts.clock.now())),
    )
  }
}
