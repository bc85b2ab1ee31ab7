import { holderId } from './ledger.js'
import { formatLoanId, parseLoanId } from './loan-id.js'
import type { TeamAccount } from './team-account.js'
import type { PermitContext } from './team-permits.js'
import type { BorrowAnswer, BorrowCall, PermitHandlers } from './types.js'

/** Validity of a loan. Short, so that a lender that wants its permits back waits about a second. */
const loanMs = 1_000

/** A loan is renewed when less than this is left of it, in milliseconds. */
const renewBelowMs = 600

/** A request without an answer is given up after this, in milliseconds. */
const answerMs = 1_000

/** A loan that nothing needed for this long is returned, in milliseconds. */
const idleMs = 300

/** Shortest pause between two requests for the same team, doubled at random, in milliseconds. */
const askPauseMs = 60

/** Part of the requests that go to any peer, because permits may have moved since the last read. */
const staleOwnersShare = 0.1

/** Pause between two settlement checks of the same loan, in milliseconds. */
const settlePauseMs = 1_000

interface Pending {
  team: string
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

/** Loans of one entry host, on both sides. */
export class Lending {
  readonly handlers: PermitHandlers = {
    onBorrow: call => this.#onBorrow(call),
    onGiveBack: call => {
      this.#onGiveBack(call)
    },
  }
  readonly #ctx: PermitContext
  readonly #pending = new Map<string, Pending>()
  /** Loans that were ended here and whose lender has not confirmed it. */
  readonly #returning = new Map<string, Returning>()
  readonly #spare = new Map<string, ReadonlyMap<string, number>>()
  readonly #times = new Map<string, TeamTimes>()
  readonly #settling = new Map<string, number>()
  #seq = 0

  constructor(ctx: PermitContext) {
    this.#ctx = ctx
  }

  observePeer(member: string, spare: ReadonlyMap<string, number>): void {
    this.#spare.set(member, spare)
  }

  /** True when neither a request nor a return is under way. */
  isQuiet(): boolean {
    return this.#pending.size === 0 && this.#returning.size === 0
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
    for (const calls of [this.#pending, this.#returning]) {
      for (const [loanId, call] of calls) {
        if (!isMember(call.lender, call.incarnation)) calls.delete(loanId)
      }
    }
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
    for (const [loanId, call] of this.#pending) if (now >= call.deadline) this.#giveUp(loanId, call)
    for (const [team, account] of this.#ctx.accounts) {
      const times = this.#timesOf(team, now)
      if (account.free(now) <= 0 || account.demand(now) > 0) times.busyAt = now
      this.#endLoansIn(team, account, times, now)
      this.#renew(team, account, times, now)
      this.#ask(team, account, times, now)
      this.#settleLoansOut(team, account, now)
    }
    for (const [loanId, call] of this.#returning) {
      if (now >= call.nextAt) this.#sendReturn(loanId, call, now)
    }
  }

  #onBorrow({ team, count, loanId }: BorrowCall): BorrowAnswer {
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
    const granted = this.#grant(account, borrower, count, now)
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

  /** Lends at most half of the spare permits, so that they don't go to and fro. */
  #grant(account: TeamAccount, borrower: string, count: number, now: number): number {
    const lendable = account.lendableTo(borrower, now)
    const granted = Math.min(count, Math.ceil(lendable / 2))
    if (granted > 0) account.stopWaiting(borrower)
    else account.wait(borrower, now)
    return granted
  }

  #onGiveBack({ team, loanId }: BorrowCall): void {
    const key = parseLoanId(loanId)
    const account = this.#ctx.accounts.get(team)
    if (!key || !account || key.lenderIncarnation !== this.#ctx.incarnation) return
    const borrower = holderId(key.borrower, key.borrowerIncarnation)
    const seen = account.seenLoans.get(borrower) ?? -1
    account.seenLoans.set(borrower, Math.max(seen, key.seq))
    account.endLoan(loanId)
    if (account.free(this.#ctx.clock.now()) > 0) this.#ctx.freed(team)
  }

  #ask(team: string, account: TeamAccount, times: TeamTimes, now: number): void {
    const ctx = this.#ctx
    const demand = account.demand(now)
    const isAsking = [...this.#pending.values()].some(call => call.team === team)
    if (!ctx.registered || ctx.closing || !ctx.isConfirmed() || isAsking) return
    if (demand === 0 || account.free(now) > 0 || now < times.nextAskAt) return
    times.nextAskAt = now + askPauseMs * (1 + ctx.rng())
    const lender = this.#chooseLender(team, account)
    const incarnation = lender === undefined ? undefined : ctx.members.get(lender)
    if (lender === undefined || incarnation === undefined) return
    const loanId = formatLoanId({
      borrower: ctx.member,
      borrowerIncarnation: ctx.incarnation,
      lenderIncarnation: incarnation,
      limit: account.limit,
      seq: this.#seq++,
    })
    const call: Pending = {
      team,
      lender,
      incarnation,
      deadline: now + answerMs,
      lowered: account.lowered,
    }
    this.#pending.set(loanId, call)
    ctx.peers.borrow(lender, { team, count: demand, loanId }).then(
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
    const spare = this.#spare.get(call.lender)
    if (answer.granted === 0 || !account) {
      // The last exchange is out of date for this peer.
      if (spare) this.#spare.set(call.lender, new Map([...spare, [call.team, 0]]))
      return
    }
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

  #chooseLender(team: string, account: TeamAccount): string | undefined {
    const { members, member, rng } = this.#ctx
    const peers = [...members.keys()].filter(id => id !== member)
    const spareOf = (id: string): number => this.#spare.get(id)?.get(team) ?? 0
    const most = Math.max(0, ...peers.map(spareOf))
    const owners = peers.filter(id => account.owners.includes(holderId(id, members.get(id) ?? '')))
    const isStale = owners.length === 0 || rng() < staleOwnersShare
    const candidates =
      most > 0 ? peers.filter(id => spareOf(id) === most) : isStale ? peers : owners
    return candidates[Math.floor(rng() * candidates.length)]
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
  #endLoansIn(team: string, account: TeamAccount, times: TeamTimes, now: number): void {
    const { closing, isMember } = this.#ctx
    for (const [loanId, loan] of account.loansIn) {
      const isIdle = now - times.busyAt >= idleMs
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

  #giveUp(loanId: string, { team, lender, incarnation }: Pending): void {
    this.#pending.delete(loanId)
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

  /** A loan to a removed borrower ends after its deadline, once none of the borrower's work runs. */
  #settleLoansOut(team: string, account: TeamAccount, now: number): void {
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

  #timesOf(team: string, now: number): TeamTimes {
    const times = this.#times.get(team) ?? { nextAskAt: -Infinity, busyAt: now, nextRenewAt: now }
    this.#times.set(team, times)
    return times
  }
}
