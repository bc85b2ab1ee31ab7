import { confirmMs, maxReadGapMs, promptReadMs, storeAnswersMs, storeSettleMs } from './timing.js'

interface HeadRead {
  startedAt: number
  answered: boolean
  /** Answered soon enough that the store is not slow. */
  prompt: boolean
  /** Whether the view holds the version that the read returned. */
  caughtUp: boolean
}

/** Until when a view is known to be current. All times are those of the view's clock. */
export class Confirmation {
  #until = Number.NEGATIVE_INFINITY
  /** Start of the latest read that confirmed the view. */
  #storeConfirmedAt = Number.NEGATIVE_INFINITY
  /** Reads of the head in the order of their start. */
  #reads: HeadRead[] = []

  get until(): number {
    return this.#until
  }

  /** Whether the store has just confirmed the view, so that the peers need not. */
  isStoreConfirming(now: number): boolean {
    return now - this.#storeConfirmedAt <= storeAnswersMs
  }

  /** A contact with a majority that began at `startedAt` and reported nothing newer. */
  confirmByMajority(startedAt: number): void {
    // Counted from the start of the contact: a change may be accepted right after it.
    this.#until = Math.max(this.#until, startedAt + confirmMs)
  }

  /** Registers a read of the head that begins at `startedAt`. */
  readStarted(startedAt: number): HeadRead {
    const read = { startedAt, answered: false, prompt: false, caughtUp: false }
    const oldest = startedAt - 2 * storeSettleMs
    this.#reads = [...this.#reads.filter(r => r.startedAt >= oldest), read]
    return read
  }

  /** Registers the result of a read; a read that got no answer stays unanswered. */
  readAnswered(read: HeadRead, now: number): void {
    read.answered = true
    read.prompt = now - read.startedAt <= promptReadMs
  }

  /**
   * The view now holds the version that the read returned. A process that is not registered has
   * acknowledged no restriction, so for it a slow read ends a run as an unanswered one does.
   */
  readCaughtUp(read: HeadRead, isRegistered: boolean): void {
    read.caughtUp = true
    for (const { startedAt } of this.#reads.filter(r => r.caughtUp)) {
      if (this.#answeredSince(startedAt, isRegistered) <= startedAt - storeSettleMs) {
        this.#until = Math.max(this.#until, startedAt + confirmMs)
        this.#storeConfirmedAt = Math.max(this.#storeConfirmedAt, startedAt)
      }
    }
  }

  /**
   * Start of the run of answered reads that ends with the one begun at `startedAt`. A read that is
   * unanswered, or a pause in which the process may have been stopped, ends a run: the store may
   * have been down, and holders of provisional restrictions need time to commit them afterwards.
   */
  #answeredSince(startedAt: number, isRegistered: boolean): number {
    let since = startedAt
    for (const read of this.#reads.filter(r => r.startedAt <= startedAt).reverse()) {
      if (!(isRegistered ? read.answered : read.prompt)) break
      if (since - read.startedAt > maxReadGapMs) break
      since = read.startedAt
    }
    return since
  }
}
