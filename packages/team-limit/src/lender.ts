import { holderId } from './ledger.js'
import { parseLoanId } from './loan-id.js'
import type { TeamAccount } from './team-account.js'
import type { PermitContext } from './team-permits.js'
import type { BorrowAnswer, BorrowCall } from './types.js'

/** Validity of a loan, so short that a lender gets recalled permits back within about a second. */
const loanDurationMs = 1_000

/** Pause between two checks of whether a borrower's work has ended, in milliseconds. */
const settlementCheckPauseMs = 1_000

/** Manages the permits that one entry host lends to its peers. */
export class Lender {
  readonly #ctx: PermitContext
  readonly #nextSettlementCheckAt = new Map<string, number>()
  readonly #isTeamIdle: (team: string, now: number) => boolean

  /** @param isTeamIdle True when a team's permits have not been needed here for some time. */
  constructor(ctx: PermitContext, isTeamIdle: (team: string, now: number) => boolean) {
    this.#ctx = ctx
    this.#isTeamIdle = isTeamIdle
  }

  /** Grants, renews, recalls or refuses a loan. */
  onBorrow({ team, count, loanId }: BorrowCall): BorrowAnswer {
    const refusal = { granted: 0, validForMs: 0 }
    const ctx = this.#ctx
    const key = parseLoanId(loanId)
    const account = ctx.accounts.get(team)
    if (!key || !account || !ctx.isConfirmed() || key.lenderIncarnation !== ctx.incarnation) {
      return refusal
    }
    const now = ctx.clock.now()
    const borrower = holderId(key.borrower, key.borrowerIncarnation)
    const existing = account.loansOut.get(loanId)
    if (existing) {
      // The borrower's own request for more permits must not recall the loans that it has.
      const isWanted =
        account.hasOtherWaiters(borrower, now) || ctx.isClosing || existing.limit !== account.limit
      if (isWanted) return { granted: existing.count, validForMs: 0 }
      existing.deadline = now + loanDurationMs
      return { granted: existing.count, validForMs: loanDurationMs }
    }
    if (!ctx.isMember(key.borrower, key.borrowerIncarnation)) return refusal
    if (key.seq <= (account.lastLoanSeqs.get(borrower) ?? -1)) return refusal
    account.lastLoanSeqs.set(borrower, key.seq)
    // A borrower that still has a lower limit would later scale the loan down too little.
    if (ctx.isClosing || key.limit < account.limit) return refusal
    const granted = this.#grant(team, account, borrower, count)
    if (granted === 0) return refusal
    const { borrower: member, borrowerIncarnation: incarnation } = key
    const deadline = now + loanDurationMs
    account.lend(loanId, {
      borrower: member,
      incarnation,
      count: granted,
      limit: account.limit,
      deadline,
    })
    return { granted, validForMs: loanDurationMs }
  }

  /**
   * Decides how many permits to lend: all that are available when the team has been idle here for
   * some time, otherwise at most half, so that permits are not lent back and forth.
   */
  #grant(team: string, account: TeamAccount, borrower: string, count: number): number {
    const now = this.#ctx.clock.now()
    const lendable = account.lendableTo(borrower, now)
    const granted = Math.min(
      count,
      this.#isTeamIdle(team, now) ? lendable : Math.ceil(lendable / 2),
    )
    if (granted > 0) account.removeWaiter(borrower)
    else account.addWaiter(borrower, now)
    return granted
  }

  /** Ends a loan. A delayed request for the same loan is refused afterwards. */
  onReturn({ team, loanId, count }: BorrowCall): void {
    const key = parseLoanId(loanId)
    const account = this.#ctx.accounts.get(team)
    if (!key || !account || key.lenderIncarnation !== this.#ctx.incarnation) return
    const borrower = holderId(key.borrower, key.borrowerIncarnation)
    const seen = account.lastLoanSeqs.get(borrower) ?? -1
    account.lastLoanSeqs.set(borrower, Math.max(seen, key.seq))
    account.endLoan(loanId)
    // After a refusal the borrower is in the queue, and permits would stay reserved for it although
    // it does not need them any more. If it does, it asks again and is queued after the others. The
    // count is 0 when the borrower has given up a request.
    if (count > 0) account.removeWaiter(borrower)
    if (account.free(this.#ctx.clock.now()) > 0) this.#ctx.notifyFree(team)
  }

  /** Ends loans to removed borrowers after the deadline, once none of the borrower's work runs. */
  endLoansToRemovedPeers(team: string, account: TeamAccount, now: number): void {
    const { isMember, isSettled } = this.#ctx
    for (const [loanId, loan] of account.loansOut) {
      if (isMember(loan.borrower, loan.incarnation) || now < loan.deadline) continue
      if (now < (this.#nextSettlementCheckAt.get(loanId) ?? -Infinity)) continue
      this.#nextSettlementCheckAt.set(loanId, now + settlementCheckPauseMs)
      isSettled(loan.borrower, loan.incarnation).then(
        settled => {
          if (!settled) return
          this.#nextSettlementCheckAt.delete(loanId)
          account.endLoan(loanId)
          this.#ctx.notifyFree(team)
        },
        () => undefined,
      )
    }
  }
}
