import { holderId } from './ledger.js'
import { parseLoanId } from './loan-id.js'
import type { TeamAccount } from './team-account.js'
import type { PermitContext } from './team-permits.js'
import type { BorrowAnswer, BorrowCall } from './types.js'

/** Validity of a loan. Short, so that a lender that wants its permits back waits about a second. */
const loanMs = 1_000

/** Pause between two settlement checks of the same loan, in milliseconds. */
const settlePauseMs = 1_000

/** The lender's side of the loans of one entry host. */
export class Lender {
  readonly #ctx: PermitContext
  readonly #settling = new Map<string, number>()
  readonly #isIdle: (team: string, now: number) => boolean

  /** @param isIdle Whether a team's permits have not been needed here for a while. */
  constructor(ctx: PermitContext, isIdle: (team: string, now: number) => boolean) {
    this.#ctx = ctx
    this.#isIdle = isIdle
  }

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
      // A borrower that asked for more must not recall its own loans.
      const isWanted =
        account.hasWaitersBeside(borrower, now) || ctx.closing || existing.limit !== account.limit
      if (isWanted) return { granted: existing.count, validForMs: 0 }
      existing.deadline = now + loanMs
      return { granted: existing.count, validForMs: loanMs }
    }
    if (!ctx.isMember(key.borrower, key.borrowerIncarnation)) return refusal
    if (key.seq <= (account.seenLoans.get(borrower) ?? -1)) return refusal
    account.seenLoans.set(borrower, key.seq)
    // A borrower that acts on a lower limit would not scale the loan down far enough later.
    if (ctx.closing || key.limit < account.limit) return refusal
    const granted = this.#grant(team, account, borrower, count)
    if (granted === 0) return refusal
    const { borrower: member, borrowerIncarnation: incarnation } = key
    const deadline = now + loanMs
    account.lend(loanId, {
      borrower: member,
      incarnation,
      count: granted,
      limit: account.limit,
      deadline,
    })
    return { granted, validForMs: loanMs }
  }

  /**
   * Lends all permits that have not been needed here for a while. Of others it lends at most half,
   * so that they don't go to and fro.
   */
  #grant(team: string, account: TeamAccount, borrower: string, count: number): number {
    const now = this.#ctx.clock.now()
    const lendable = account.lendableTo(borrower, now)
    const granted = Math.min(count, this.#isIdle(team, now) ? lendable : Math.ceil(lendable / 2))
    if (granted > 0) account.stopWaiting(borrower)
    else account.wait(borrower, now)
    return granted
  }

  onGiveBack({ team, loanId, count }: BorrowCall): void {
    const key = parseLoanId(loanId)
    const account = this.#ctx.accounts.get(team)
    if (!key || !account || key.lenderIncarnation !== this.#ctx.incarnation) return
    const borrower = holderId(key.borrower, key.borrowerIncarnation)
    const seen = account.seenLoans.get(borrower) ?? -1
    account.seenLoans.set(borrower, Math.max(seen, key.seq))
    account.endLoan(loanId)
    // An earlier refusal would keep the permits for a borrower that needs them no more. One that
    // does asks again and has its turn after the others. A request given up has the count 0.
    if (count > 0) account.stopWaiting(borrower)
    if (account.free(this.#ctx.clock.now()) > 0) this.#ctx.freed(team)
  }

  /** A loan to a removed borrower ends after its deadline, once none of the borrower's work runs. */
  settleLoansOut(team: string, account: TeamAccount, now: number): void {
    const { isMember, isSettled } = this.#ctx
    for (const [loanId, loan] of account.loansOut) {
      if (isMember(loan.borrower, loan.incarnation) || now < loan.deadline) continue
      if (now < (this.#settling.get(loanId) ?? -Infinity)) continue
      this.#settling.set(loanId, now + settlePauseMs)
      isSettled(loan.borrower, loan.incarnation).then(
        settled => {
          if (!settled) return
          this.#settling.delete(loanId)
          account.endLoan(loanId)
          this.#ctx.freed(team)
        },
        () => undefined,
      )
    }
  }
}
