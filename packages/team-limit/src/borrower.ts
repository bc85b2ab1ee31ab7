import { formatLoanId } from './loan-id.js'
import { LenderSelector } from './lender-selector.js'
import type { TeamAccount } from './team-account.js'
import type { PermitContext } from './team-permits.js'
import type { BorrowAnswer } from './types.js'

/** Remaining validity below which a loan is renewed, in milliseconds. */
const renewBelowMs = 600

/** Time after which a request without an answer is given up, in milliseconds. */
const answerTimeoutMs = 1_000

/** Time after which a loan that nothing needs is returned, in milliseconds. */
const idleLoanMs = 300

/**
 * Shortest pause between two rounds of requests for the same team, in milliseconds. A random part
 * makes it up to twice as long.
 */
const requestPauseMs = 60

interface PendingRequest {
  team: string
  count: number
  lender: string
  incarnation: string
  deadline: number
  limitReductions: number
}

interface PendingReturn {
  team: string
  lender: string
  incarnation: string
  count: number
  nextSendAt: number
}

interface TeamTimes {
  nextRequestAt: number
  lastNeededAt: number
  nextRenewAt: number
}

/** Manages the permits that one entry host borrows from its peers. */
export class Borrower {
  readonly #ctx: PermitContext
  readonly #lenderSelector: LenderSelector
  readonly #requests = new Map<string, PendingRequest>()
  /** Loans that ended here but whose return the lender has not confirmed. */
  readonly #returns = new Map<string, PendingReturn>()
  readonly #times = new Map<string, TeamTimes>()
  #seq = 0

  constructor(ctx: PermitContext) {
    this.#ctx = ctx
    this.#lenderSelector = new LenderSelector(ctx)
  }

  recordPeerSpare(member: string, spare: ReadonlyMap<string, number>): void {
    this.#lenderSelector.recordSpare(member, spare)
  }

  /** True when neither a loan request nor a return is in progress. */
  hasNoPendingCalls(): boolean {
    return this.#requests.size === 0 && this.#returns.size === 0
  }

  /** True when nothing here has needed a team's permits for {@link idleLoanMs}. */
  isTeamIdle(team: string, now: number): boolean {
    return now - this.#timesOf(team, now).lastNeededAt >= idleLoanMs
  }

  /** Discards the requests and returns to removed peers. */
  dropRemovedPeers(): void {
    for (const calls of [this.#requests, this.#returns]) {
      for (const [loanId, call] of calls) {
        if (!this.#ctx.isMember(call.lender, call.incarnation)) calls.delete(loanId)
      }
    }
  }

  giveUpExpiredRequests(now: number): void {
    for (const [loanId, call] of this.#requests)
      if (now >= call.deadline) this.#giveUp(loanId, call)
  }

  /** Ends, renews and requests loans of one team. */
  tick(team: string, account: TeamAccount, now: number): void {
    const times = this.#timesOf(team, now)
    // No free permit alone does not mean need: all may be lent while nothing runs or waits here.
    const isUsedUp = account.inUse > 0 && account.free(now) <= 0
    if (isUsedUp || account.demand(now) > 0) times.lastNeededAt = now
    this.#endLoansIn(team, account, now)
    this.#renew(team, account, times, now)
    this.#requestLoans(team, account, times, now)
  }

  sendReturns(now: number): void {
    for (const [loanId, call] of this.#returns) {
      if (now >= call.nextSendAt) this.#sendReturn(loanId, call, now)
    }
  }

  #requestLoans(team: string, account: TeamAccount, times: TeamTimes, now: number): void {
    const ctx = this.#ctx
    const demand = account.demand(now)
    if (!ctx.isRegistered || ctx.isClosing || !ctx.isConfirmed()) return
    if (demand === 0 || account.free(now) > 0 || now < times.nextRequestAt) return
    const pending = [...this.#requests.values()].filter(call => call.team === team)
    const lenders = this.#lenderSelector.select(
      team,
      account,
      new Set(pending.map(({ lender }) => lender)),
    )
    if (lenders.length === 0) return
    times.nextRequestAt = now + requestPauseMs * (1 + ctx.rng())
    // The requests to all lenders together do not exceed the demand.
    let remaining = demand
    for (const [i, lender] of lenders.entries()) {
      const count = Math.ceil(remaining / (lenders.length - i))
      if (count > 0) this.#requestLoan(team, account, lender, count)
      remaining -= count
    }
  }

  #requestLoan(team: string, account: TeamAccount, lender: string, count: number): void {
    const ctx = this.#ctx
    const incarnation = ctx.members.get(lender)
    if (incarnation === undefined) return
    const now = ctx.clock.now()
    const loanId = formatLoanId({
      borrower: ctx.member,
      borrowerIncarnation: ctx.incarnation,
      lenderIncarnation: incarnation,
      limit: account.limit,
      seq: this.#seq++,
    })
    const call: PendingRequest = {
      team,
      count,
      lender,
      incarnation,
      deadline: now + answerTimeoutMs,
      limitReductions: account.limitReductions,
    }
    this.#requests.set(loanId, call)
    ctx.peers.borrow(lender, { team, count, loanId }).then(
      answer => {
        this.#onAnswer(loanId, call, answer, now)
      },
      () => {
        if (this.#requests.get(loanId) === call) this.#giveUp(loanId, call)
      },
    )
  }

  #onAnswer(loanId: string, call: PendingRequest, answer: BorrowAnswer, sentAt: number): void {
    if (this.#requests.get(loanId) !== call) return
    const account = this.#ctx.accounts.get(call.team)
    // The lender counts the validity from a later time, so the loan never ends earlier there.
    const deadline = sentAt + answer.validForMs
    const isLate = this.#ctx.clock.now() >= deadline
    if (
      answer.granted > 0 &&
      (!account || isLate || account.limitReductions !== call.limitReductions)
    ) {
      this.#giveUp(loanId, call)
      return
    }
    this.#requests.delete(loanId)
    this.#lenderSelector.recordAnswer(call.team, call.lender, {
      count: call.count,
      granted: answer.granted,
    })
    if (answer.granted === 0 || !account) return
    const { lender, incarnation } = call
    account.loansIn.set(loanId, {
      lender,
      incarnation,
      count: answer.granted,
      deadline,
      isRecalled: false,
    })
    this.#ctx.notifyFree(call.team)
  }

  #renew(team: string, account: TeamAccount, times: TeamTimes, now: number): void {
    if (now < times.nextRenewAt || !this.#ctx.isConfirmed()) return
    times.nextRenewAt = now + requestPauseMs * 2
    for (const [loanId, loan] of account.loansIn) {
      if (loan.isRecalled || loan.deadline - now > renewBelowMs) continue
      this.#ctx.peers.borrow(loan.lender, { team, count: loan.count, loanId }).then(
        answer => {
          if (answer.granted === 0 || answer.validForMs === 0) loan.isRecalled = true
          else loan.deadline = Math.max(loan.deadline, now + answer.validForMs)
        },
        () => undefined,
      )
    }
  }

  /**
   * Ends loans that are not needed, recalled or expired, unless running work still uses them.
   */
  #endLoansIn(team: string, account: TeamAccount, now: number): void {
    const { isClosing, isMember } = this.#ctx
    const isIdle = this.isTeamIdle(team, now)
    for (const [loanId, loan] of account.loansIn) {
      if (!(isClosing || loan.isRecalled || now >= loan.deadline || loan.count === 0 || isIdle))
        continue
      if (account.inUse > account.held() - loan.count) continue
      account.loansIn.delete(loanId)
      const { lender, incarnation, count } = loan
      if (isMember(lender, incarnation)) {
        this.#returns.set(loanId, { team, lender, incarnation, count, nextSendAt: now })
      }
    }
  }

  #giveUp(loanId: string, { team, lender, incarnation, count }: PendingRequest): void {
    this.#requests.delete(loanId)
    this.#lenderSelector.recordAnswer(team, lender, { count, granted: 0 })
    this.#returns.set(loanId, { team, lender, incarnation, count: 0, nextSendAt: -Infinity })
  }

  #sendReturn(loanId: string, call: PendingReturn, now: number): void {
    call.nextSendAt = now + answerTimeoutMs * (0.25 + this.#ctx.rng() / 4)
    const { team, lender, count } = call
    this.#ctx.peers.returnLoan(lender, { team, loanId, count }).then(
      () => this.#returns.delete(loanId),
      () => undefined,
    )
  }

  #timesOf(team: string, now: number): TeamTimes {
    const times = this.#times.get(team) ?? {
      nextRequestAt: -Infinity,
      lastNeededAt: now,
      nextRenewAt: now,
    }
    this.#times.set(team, times)
    return times
  }
}
