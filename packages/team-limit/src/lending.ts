import { Borrower } from './borrower.js'
import { holderId } from './ledger.js'
import { Lender } from './lender.js'
import type { PermitContext } from './team-permits.js'
import type { PermitHandlers } from './types.js'

/** Loans of one entry host, on both sides. */
export class Lending {
  readonly handlers: PermitHandlers = {
    onBorrow: call => this.#lender.onBorrow(call),
    onGiveBack: call => {
      this.#lender.onGiveBack(call)
    },
  }
  readonly #ctx: PermitContext
  readonly #borrower: Borrower
  readonly #lender: Lender

  constructor(ctx: PermitContext) {
    this.#ctx = ctx
    this.#borrower = new Borrower(ctx)
    this.#lender = new Lender(ctx, (team, now) => this.#borrower.isIdle(team, now))
  }

  observePeer(member: string, spare: ReadonlyMap<string, number>): void {
    this.#borrower.observePeer(member, spare)
  }

  /** True when neither a request nor a return is under way. */
  isQuiet(): boolean {
    return this.#borrower.isQuiet()
  }

  hasLoansOfRemoved(): boolean {
    const { accounts, isMember } = this.#ctx
    for (const account of accounts.values()) {
      for (const loan of account.loansIn.values()) {
        if (!isMember(loan.lender, loan.incarnation)) return true
      }
    }
    return false
  }

  /** Requests to removed peers are void; loans from them end with the work that needs them. */
  dropRemovedPeers(): void {
    const { accounts, isMember, members } = this.#ctx
    this.#borrower.dropRemovedPeers()
    const holders = new Set([...members].map(([member, inc]) => holderId(member, inc)))
    for (const account of accounts.values()) {
      for (const loan of account.loansIn.values()) {
        if (!isMember(loan.lender, loan.incarnation)) loan.recalled = true
      }
      for (const borrower of account.seenLoans.keys()) {
        if (!holders.has(borrower)) account.seenLoans.delete(borrower)
      }
    }
  }

  tick(now: number): void {
    this.#borrower.giveUpLateRequests(now)
    for (const [team, account] of this.#ctx.accounts) {
      this.#borrower.tick(team, account, now)
      this.#lender.settleLoansOut(team, account, now)
    }
    this.#borrower.sendReturns(now)
  }
}
