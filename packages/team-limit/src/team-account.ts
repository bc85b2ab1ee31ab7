import { scaleDown } from './ledger.js'

/** How long a refused request for a permit counts as demand, in milliseconds. */
export const demandLifetimeMs = 1_000

/** Permits lent to a peer until it returns them or a check shows that its work has ended. */
export interface LoanOut {
  borrower: string
  incarnation: string
  count: number
  /** The team's limit when the loan was granted. */
  limit: number
  /** Never earlier than the borrower's own deadline for the loan. */
  deadline: number
}

/** Permits borrowed from a peer. */
export interface LoanIn {
  lender: string
  incarnation: string
  count: number
  /** Time from which no work starts under the loan, in milliseconds of the clock. */
  deadline: number
  /** True once the lender has asked for the permits back. */
  isRecalled: boolean
}

/** Id of this entry host in the queue of holders that wait for a permit. */
const selfHolder = ''

/**
 * Permits of one team at one entry host. All methods are synchronous.
 *
 * Work starts only while fewer than `own` - `lent` + borrowed permits are in use. Borrowed permits
 * of expired or recalled loans do not count.
 */
export class TeamAccount {
  limit = 0
  /** Permits that this entry host has in the ledger. */
  own = 0
  inUse = 0
  /** Permits lent to peers. */
  lent = 0
  /** Holders with permits in the ledger when it was last read. */
  ledgerHolders: string[] = []
  /** Counts the reductions of the limit. */
  limitReductions = 0
  readonly loansOut = new Map<string, LoanOut>()
  readonly loansIn = new Map<string, LoanIn>()
  /** Highest loan number per borrower, so that a delayed request cannot reopen an ended loan. */
  readonly lastLoanSeqs = new Map<string, number>()
  readonly #waiters = new Map<string, { position: number; expiresAt: number }>()
  #nextPosition = 0
  #waitingCount = 0

  /** Returns the permits under which work may start now; negative when too many are in use. */
  free(now: number): number {
    let free = this.own - this.lent - this.inUse
    if (this.loansIn.size === 0) return free
    for (const loan of this.loansIn.values()) {
      if (!loan.isRecalled && now < loan.deadline) free += loan.count
    }
    return free
  }

  /** Returns all permits at this entry host, including loans past their deadline. */
  held(): number {
    let held = this.own - this.lent
    for (const loan of this.loansIn.values()) held += loan.count
    return held
  }

  /** Returns the part of `own` that running work and loans to peers occupy. */
  owed(): number {
    return Math.max(0, this.inUse - this.held() + this.own)
  }

  /** Returns the permits that can be lent now. */
  spare(): number {
    return Math.max(0, this.own - this.lent - this.inUse)
  }

  tryAcquire(now: number): boolean {
    const free = this.free(now)
    if (free > (this.#waiters.size === 0 ? 0 : this.#reservedForPeers(now))) {
      this.inUse++
      if (this.#waiters.size > 0) this.#waiters.delete(selfHolder)
      return true
    }
    this.addWaiter(selfHolder, now)
    return false
  }

  /** Adds a holder to the queue for a permit; one that is already queued keeps its position. */
  addWaiter(holder: string, now: number): void {
    const waiter = this.#waiters.get(holder)
    const position = waiter && now < waiter.expiresAt ? waiter.position : this.#nextPosition++
    this.#waiters.set(holder, { position, expiresAt: now + demandLifetimeMs })
  }

  removeWaiter(holder: string): void {
    this.#waiters.delete(holder)
  }

  /** Sets how much work is queued here and so how many permits are requested; 0 ends the demand. */
  setWaitingCount(count: number): void {
    if (count === 0 && this.#waitingCount > 0) this.removeWaiter(selfHolder)
    this.#waitingCount = count
  }

  /** Returns the number of permits needed here in addition to those held. */
  demand(now: number): number {
    const waiter = this.#waiters.get(selfHolder)
    return waiter && now < waiter.expiresAt ? Math.max(1, this.#waitingCount) : 0
  }

  /** True while any holder except `holder` waits for a permit of this entry host. */
  hasOtherWaiters(holder: string, now: number): boolean {
    for (const [other, { expiresAt }] of this.#waiters)
      if (other !== holder && now < expiresAt) return true
    return false
  }

  /** Returns the permits that `holder` can borrow: the spare ones minus one per waiter ahead. */
  lendableTo(holder: string, now: number): number {
    return Math.max(0, this.spare() - this.#waitersAhead(holder, now))
  }

  setLimit(limit: number): void {
    if (limit < this.limit) {
      this.limitReductions++
      this.own = scaleDown(this.own, this.limit, limit)
      for (const loan of this.loansIn.values()) {
        loan.count = scaleDown(loan.count, this.limit, limit)
      }
    }
    this.limit = limit
  }

  /** Returns the limit of the ledger entry: the lowest of the current and those of all loans. */
  ledgerLimit(): number {
    return [...this.loansOut.values()].reduce((min, loan) => Math.min(min, loan.limit), this.limit)
  }

  lend(loanId: string, loan: LoanOut): void {
    this.loansOut.set(loanId, loan)
    this.lent += loan.count
  }

  /** Ends a loan to a peer, which frees its permits here; a second call changes nothing. */
  endLoan(loanId: string): void {
    const loan = this.loansOut.get(loanId)
    if (!loan) return
    this.loansOut.delete(loanId)
    this.lent -= loan.count
  }

  /**
   * Returns the permits reserved for peers that have waited longer. Only spare permits can be
   * reserved for them, because borrowed permits cannot be lent on.
   */
  #reservedForPeers(now: number): number {
    return Math.min(this.#waitersAhead(selfHolder, now), this.spare())
  }

  #waitersAhead(holder: string, now: number): number {
    const own = this.#waiters.get(holder)
    let ahead = 0
    for (const [other, waiter] of this.#waiters) {
      if (now >= waiter.expiresAt) this.#waiters.delete(other)
      else if (other !== holder && (!own || waiter.position < own.position)) ahead++
    }
    return ahead
  }
}
