import { scaleDown } from './ledger.js'

/** How long a refused wish counts as demand, in milliseconds. */
export const demandMs = 1_000

/** Permits given to a peer. Only the peer's word or a settlement check ends it. */
export interface LoanOut {
  borrower: string
  incarnation: string
  count: number
  /** The team's limit when the loan was granted. */
  limit: number
  /** Never earlier than the borrower's own deadline for the loan. */
  deadline: number
}

/** Permits taken from a peer. */
export interface LoanIn {
  lender: string
  incarnation: string
  count: number
  /** Nothing starts under the loan from here on, in milliseconds of the clock. */
  deadline: number
  /** Set when the lender wants the permits back. */
  recalled: boolean
}

/** Own name in the queue of those who wait for a permit. */
const self = ''

/**
 * Permits of one team at one entry host. All methods are synchronous.
 *
 * The work in progress never starts beyond `own` - `lent` + unexpired loans.
 */
export class TeamAccount {
  limit = 0
  own = 0
  inUse = 0
  lent = 0
  /** Holders with permits in the ledger when it was last read. */
  owners: string[] = []
  /** Raised when the limit is lowered. */
  lowered = 0
  readonly loansOut = new Map<string, LoanOut>()
  readonly loansIn = new Map<string, LoanIn>()
  /** Highest loan number seen per borrower, so that a late request cannot open a closed loan again. */
  readonly seenLoans = new Map<string, number>()
  readonly #waiters = new Map<string, { place: number; until: number }>()
  #nextPlace = 0
  #waiting = 0

  /** Permits under which work may start now; negative when over. */
  free(now: number): number {
    let free = this.own - this.lent - this.inUse
    if (this.loansIn.size === 0) return free
    for (const loan of this.loansIn.values()) {
      if (!loan.recalled && now < loan.deadline) free += loan.count
    }
    return free
  }

  /** All permits at this entry host, with loans past their deadline. */
  held(): number {
    let held = this.own - this.lent
    for (const loan of this.loansIn.values()) held += loan.count
    return held
  }

  /** Permits of `own` bound by work and by loans to peers. */
  owed(): number {
    return Math.max(0, this.inUse - this.held() + this.own)
  }

  /** Permits that can be lent now. */
  spare(): number {
    return Math.max(0, this.own - this.lent - this.inUse)
  }

  tryTake(now: number): boolean {
    const free = this.free(now)
    if (free > (this.#waiters.size === 0 ? 0 : this.#reserved(now))) {
      this.inUse++
      if (this.#waiters.size > 0) this.#waiters.delete(self)
      return true
    }
    this.wait(self, now)
    return false
  }

  /** Puts a holder in the queue for a permit, or keeps its place. */
  wait(who: string, now: number): void {
    const waiter = this.#waiters.get(who)
    const place = waiter && now < waiter.until ? waiter.place : this.#nextPlace++
    this.#waiters.set(who, { place, until: now + demandMs })
  }

  stopWaiting(who: string): void {
    this.#waiters.delete(who)
  }

  /** Announces queued work, so that as many permits are asked for. None left ends the demand. */
  setWaiting(count: number): void {
    if (count === 0 && this.#waiting > 0) this.stopWaiting(self)
    this.#waiting = count
  }

  /** Permits wanted here beyond those held. */
  demand(now: number): number {
    const waiter = this.#waiters.get(self)
    return waiter && now < waiter.until ? Math.max(1, this.#waiting) : 0
  }

  /** True while anyone but `who` waits for a permit of this entry host. */
  hasWaitersBeside(who: string, now: number): boolean {
    for (const [other, { until }] of this.#waiters) if (other !== who && now < until) return true
    return false
  }

  /** Permits that `who` can borrow: all that are spare and not due to others who waited longer. */
  lendableTo(who: string, now: number): number {
    return Math.max(0, this.spare() - this.#waitersAhead(who, now))
  }

  setLimit(limit: number): void {
    if (limit < this.limit) {
      this.lowered++
      this.own = scaleDown(this.own, this.limit, limit)
      for (const loan of this.loansIn.values()) {
        loan.count = scaleDown(loan.count, this.limit, limit)
      }
    }
    this.limit = limit
  }

  /** Limit to which the ledger entry refers: loans granted at a lower limit keep the lower one. */
  basis(): number {
    return [...this.loansOut.values()].reduce((min, loan) => Math.min(min, loan.limit), this.limit)
  }

  lend(loanId: string, loan: LoanOut): void {
    this.loansOut.set(loanId, loan)
    this.lent += loan.count
  }

  /** Takes the permits of a loan back; a second call changes nothing. */
  endLoan(loanId: string): void {
    const loan = this.loansOut.get(loanId)
    if (!loan) return
    this.loansOut.delete(loanId)
    this.lent -= loan.count
  }

  /** Permits due to peers who waited longer; they cannot get permits that are borrowed here. */
  #reserved(now: number): number {
    return Math.min(this.#waitersAhead(self, now), this.spare())
  }

  #waitersAhead(who: string, now: number): number {
    const own = this.#waiters.get(who)
    let ahead = 0
    for (const [other, waiter] of this.#waiters) {
      if (now >= waiter.until) this.#waiters.delete(other)
      else if (other !== who && (!own || waiter.place < own.place)) ahead++
    }
    return ahead
  }
}
