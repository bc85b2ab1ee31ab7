import { formatLoanId } from './loan-id.js'
import { LenderChoice } from './lender-choice.js'
import type { TeamAccount } from './team-account.js'
import type { PermitContext } from './team-permits.js'
import type { BorrowAnswer } from './types.js'

/** A loan is renewed when less than this is left of it, in milliseconds. */
const renewBelowMs = 600

/** A request without an answer is given up after this, in milliseconds. */
const answerMs = 1_000

/** A loan that nothing needed for this long is returned, in milliseconds. */
const idleMs = 300

/** Shortest pause between two rounds of requests for the same team, doubled at random, in milliseconds. */
const askPauseMs = 60

interface Pending {
  team: string
  count: number
  lender: string
  incarnation: string
  deadline: number
  lowered: number
}

interface Returning {
  team: string
  lender: string
  incarnation: string
  count: number
  nextAt: number
}

interface TeamTimes {
  nextAskAt: number
  busyAt: number
  nextRenewAt: number
}

/** The borrower's side of the loans of one entry host. */
export class Borrower {
  readonly #ctx: PermitContext
  readonly #choice: LenderChoice
  readonly #pending = new Map<string, Pending>()
  /** Loans that were ended here and whose lender has not confirmed it. */
  readonly #returning = new Map<string, Returning>()
  readonly #times = new Map<string, TeamTimes>()
  #seq = 0

  constructor(ctx: PermitContext) {
    this.#ctx = ctx
    this.#choice = new LenderChoice(ctx)
  }

  observePeer(member: string, spare: ReadonlyMap<string, number>): void {
    this.#choice.observe(member, spare)
  }

  /** True when neither a request nor a return is under way. */
  isQuiet(): boolean {
    return this.#pending.size === 0 && this.#returning.size === 0
  }

  /** True when nothing here has needed a team's permits for a while. */
  isIdle(team: string, now: number): boolean {
    return now - this.#timesOf(team, now).busyAt >= idleMs
  }

  /** Requests to removed peers are void, and so are returns to them. */
  dropRemovedPeers(): void {
    for (const calls of [this.#pending, this.#returning]) {
      for (const [loanId, call] of calls) {
        if (!this.#ctx.isMember(call.lender, call.incarnation)) calls.delete(loanId)
      }
    }
  }

  giveUpLateRequests(now: number): void {
    for (const [loanId, call] of this.#pending) if (now >= call.deadline) this.#giveUp(loanId, call)
  }

  /** Ends, renews and asks for loans of one team. */
  tick(team: string, account: TeamAccount, now: number): void {
    const times = this.#timesOf(team, now)
    // Permits that are all lent while nothing runs or waits here are not needed.
    const isUsedUp = account.inUse > 0 && account.free(now) <= 0
    if (isUsedUp || account.demand(now) > 0) times.busyAt = now
    this.#endLoansIn(team, account, now)
    this.#renew(team, account, times, now)
    this.#ask(team, account, times, now)
  }

  sendReturns(now: number): void {
    for (const [loanId, call] of this.#returning) {
      if (now >= call.nextAt) this.#sendReturn(loanId, call, now)
    }
  }

  #ask(team: string, account: TeamAccount, times: TeamTimes, now: number): void {
    const ctx = this.#ctx
    const demand = account.demand(now)
    if (!ctx.registered || ctx.closing || !ctx.isConfirmed()) return
    if (demand === 0 || account.free(now) > 0 || now < times.nextAskAt) return
    const asked = [...this.#pending.values()].filter(call => call.team === team)
    const lenders = this.#choice.choose(team, account, new Set(asked.map(({ lender }) => lender)))
    if (lenders.length === 0) return
    times.nextAskAt = now + askPauseMs * (1 + ctx.rng())
    // Together the lenders are asked for no more than is wanted.
    let left = demand
    for (const [i, lender] of lenders.entries()) {
      const count = Math.ceil(left / (lenders.length - i))
      if (count > 0) this.#request(team, account, lender, count)
      left -= count
    }
  }

  #request(team: string, account: TeamAccount, lender: string, count: number): void {
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
    const call: Pending = {
      team,
      count,
      lender,
      incarnation,
      deadline: now + answerMs,
      lowered: account.lowered,
    }
    this.#pending.set(loanId, call)
    ctx.peers.borrow(lender, { team, count, loanId }).then(
      answer => {
        this.#onAnswer(loanId, call, answer, now)
      },
      () => {
        if (this.#pending.get(loanId) === call) this.#giveUp(loanId, call)
      },
    )
  }

  #onAnswer(loanId: string, call: Pending, answer: BorrowAnswer, sentAt: number): void {
    if (this.#pending.get(loanId) !== call) return
    const account = this.#ctx.accounts.get(call.team)
    // The lender counts from a later moment, so it never takes the loan for ended before we do.
    const deadline = sentAt + answer.validForMs
    const isLate = this.#ctx.clock.now() >= deadline
    if (answer.granted > 0 && (!account || isLate || account.lowered !== call.lowered)) {
      this.#giveUp(loanId, call)
      return
    }
    this.#pending.delete(loanId)
    this.#choice.answered(call.team, call.lender, { count: call.count, granted: answer.granted })
    if (answer.granted === 0 || !account) return
    const { lender, incarnation } = call
    account.loansIn.set(loanId, {
      lender,
      incarnation,
      count: answer.granted,
      deadline,
      recalled: false,
    })
    this.#ctx.freed(call.team)
  }

  #renew(team: string, account: TeamAccount, times: TeamTimes, now: number): void {
    if (now < times.nextRenewAt || !this.#ctx.isConfirmed()) return
    times.nextRenewAt = now + askPauseMs * 2
    for (const [loanId, loan] of account.loansIn) {
      if (loan.recalled || loan.deadline - now > renewBelowMs) continue
      this.#ctx.peers.borrow(loan.lender, { team, count: loan.count, loanId }).then(
        answer => {
          if (answer.granted === 0 || answer.validForMs === 0) loan.recalled = true
          else loan.deadline = Math.max(loan.deadline, now + answer.validForMs)
        },
        () => undefined,
      )
    }
  }

  /** Ends loans that are not needed, recalled or expired, as far as the work in progress allows. */
  #endLoansIn(team: string, account: TeamAccount, now: number): void {
    const { closing, isMember } = this.#ctx
    const isIdle = this.isIdle(team, now)
    for (const [loanId, loan] of account.loansIn) {
      if (!(closing || loan.recalled || now >= loan.deadline || loan.count === 0 || isIdle))
        continue
      if (account.inUse > account.held() - loan.count) continue
      account.loansIn.delete(loanId)
      const { lender, incarnation, count } = loan
      if (isMember(lender, incarnation)) {
        this.#returning.set(loanId, { team, lender, incarnation, count, nextAt: now })
      }
    }
  }

  #giveUp(loanId: string, { team, lender, incarnation, count }: Pending): void {
    this.#pending.delete(loanId)
    this.#choice.answered(team, lender, { count, granted: 0 })
    this.#returning.set(loanId, { team, lender, incarnation, count: 0, nextAt: -Infinity })
  }

  #sendReturn(loanId: string, call: Returning, now: number): void {
    call.nextAt = now + answerMs * (0.25 + this.#ctx.rng() / 4)
    const { team, lender, count } = call
    this.#ctx.peers.giveBack(lender, { team, loanId, count }).then(
      () => this.#returning.delete(loanId),
      () => undefined,
    )
  }

  #timesOf(team: string, now: number): TeamTimes {
    const times = this.#times.get(team) ?? { nextAskAt: -Infinity, busyAt: now, nextRenewAt: now }
    this.#times.set(team, times)
    return times
  }
}
