import {
  confirmationMs,
  maxReadGapMs,
  maxPromptReadMs,
  maxConfirmingReadAgeMs,
  storeStableMs,
} from './timing.js'

/** A read of the head in the store. */
interface HeadRead {
  startedAt: number
  isAnswered: boolean
  /** Answered within {@link maxPromptReadMs}, so the store is not slow. */
  isPrompt: boolean
  /** Whether the view holds the version that the read returned. */
  isCaughtUp: boolean
}

/** Tracks until when a view is known to be current. All times are on the view's clock. */
export class Confirmation {
  #confirmedUntil = Number.NEGATIVE_INFINITY
  /** Start of the latest read that confirmed the view. */
  #storeConfirmedAt = Number.NEGATIVE_INFINITY
  /** Reads of the head in the order of their start. */
  #reads: HeadRead[] = []

  get confirmedUntil(): number {
    return this.#confirmedUntil
  }

  /** Whether the store confirmed the view so recently that no majority of peers is needed. */
  isStoreConfirming(now: number): boolean {
    return now - this.#storeConfirmedAt <= maxConfirmingReadAgeMs
  }

  /** Confirms the view; exchanges with a majority, begun at `startedAt`, showed nothing newer. */
  confirmByMajority(startedAt: number): void {
    // Counted from the start of the exchanges, because a change may be accepted right after that.
    this.#confirmedUntil = Math.max(this.#confirmedUntil, startedAt + confirmationMs)
  }

  /** Records a read of the head that begins at `startedAt`. */
  readStarted(startedAt: number): HeadRead {
    const read = { startedAt, isAnswered: false, isPrompt: false, isCaughtUp: false }
    const oldest = startedAt - 2 * storeStableMs
    this.#reads = [...this.#reads.filter(r => r.startedAt >= oldest), read]
    return read
  }

  /** Records the answer to a read. Without this call a read counts as unanswered. */
  readAnswered(read: HeadRead, now: number): void {
    read.isAnswered = true
    read.isPrompt = now - read.startedAt <= maxPromptReadMs
  }

  /**
   * Records that the view holds the version that the read returned, and confirms the view if the
   * store has answered long enough. A process that is not registered has acknowledged no
   * restriction, so for it a slow read interrupts the reads as an unanswered one does.
   */
  readCaughtUp(read: HeadRead, isRegistered: boolean): void {
    read.isCaughtUp = true
    for (const { startedAt } of this.#reads.filter(r => r.isCaughtUp)) {
      if (this.#startOfUninterruptedReads(startedAt, isRegistered) <= startedAt - storeStableMs) {
        this.#confirmedUntil = Math.max(this.#confirmedUntil, startedAt + confirmationMs)
        this.#storeConfirmedAt = Math.max(this.#storeConfirmedAt, startedAt)
      }
    }
  }

  /**
   * Start of the uninterrupted series of answered reads that ends with the one begun at
   * `startedAt`. An unanswered read, or a gap in which the process may have been paused, interrupts
   * the series: the store may have been down, and entry hosts that hold provisional restrictions
   * need time to commit them afterwards.
   */
  #startOfUninterruptedReads(startedAt: number, isRegistered: boolean): number {
    let since = startedAt
    for (const read of this.#reads.filter(r => r.startedAt <= startedAt).reverse()) {
      if (!(isRegistered ? read.isAnswered : read.isPrompt)) break
      if (since - read.startedAt > maxReadGapMs) break
      since = read.startedAt
    }
    return since
  }
}
