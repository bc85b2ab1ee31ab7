import { Borrower } from './borrower.js'
import { holderId } from './ledger.js'
import { Lender } from './lender.js'
import type { PermitContext } from './team-permits.js'
import type { PermitHandlers } from './types.js'

/** Manages the loans of one entry host, both as lender and as borrower. */
export class Lending {
  readonly handlers: PermitHandlers = {
    onBorrow: call => this.#lender.onBorrow(call),
    onReturn: call => {
      this.#lender.onReturn(call)
    },
  }
  readonly #ctx: PermitContext
  readonly #borrower: Borrower
  readonly #lender: Lender

  constructor(ctx: PermitContext) {
    this.#ctx = ctx
    this.#borrower = new Borrower(ctx)
    this.#lender = new Lender(ctx, (team, now) => this.#borrower.isTeamIdle(team, now))
  }

  recordPeerSpare(member: string, spare: ReadonlyMap<string, number>): void {
    this.#borrower.recordPeerSpare(member, spare)
  }

  /** True when neither a loan request nor a return is in progress. */
  hasNoPendingCalls(): boolean {
    return this.#borrower.hasNoPendingCalls()
  }

  hasLoansFromRemovedPeers(): boolean {
    const { accounts, isMember } = this.#ctx
    for (const account of accounts.values()) {
      for (const loan of account.loansIn.values()) {
        if (!isMember(loan.lender, loan.incarnation)) return true
      }
    }
    return false
  }

  /**
   * Discards requests to removed peers. Loans from them are marked as recalled, so that they end
   * with the work that uses them.
   */
  dropRemovedPeers(): void {
    const { accounts, isMember, members } = this.#ctx
    this.#borrower.dropRemovedPeers()
    const holders = new Set(
      [...members].map(([member, incarnation]) => holderId(member, incarnation)),
    )
    for (const account of accounts.values()) {
      for (const loan of account.loansIn.values()) {
        if (!isMember(loan.lender, loan.incarnation)) loan.isRecalled = true
      }
      for (const borrower of account.lastLoanSeqs.keys()) {
        if (!holders.has(borrower)) account.lastLoanSeqs.delete(borrower)
      }
    }
  }

  tick(now: number): void {
    this.#borrower.giveUpExpiredRequests(now)
    for (const [team, account] of this.#ctx.accounts) {
      this.#borrower.tick(team, account, now)
      this.#lender.endLoansToRemovedPeers(team, account, now)
    }
    this.#borrower.sendReturns(now)
  }
}
