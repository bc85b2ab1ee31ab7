/** One start of work. */
export interface Permit {
  /** Gives the permit back when the work is known to have ended; a second call changes nothing. */
  release(): void
}

/** A registered entry host; `Member` of the contract fits. */
export interface MemberRef {
  id: string
  incarnation: string
}

/** The parts of a configuration that permits depend on. */
export interface PermitConfiguration {
  version: number
  limits: ReadonlyMap<string, number>
  members: readonly MemberRef[]
}

export interface BorrowCall {
  team: string
  count: number
  loanId: string
}

export interface BorrowAnswer {
  granted: number
  /** Counted from when the request was sent; 0 recalls a loan that is being renewed. */
  validForMs: number
}

/** Calls to peers; the entry host implements it over its peer service. */
export interface PeerPermits {
  /** Asks for a loan, or renews the loan with the same id. */
  borrow(peer: string, call: BorrowCall): Promise<BorrowAnswer>
  /** Ends a loan. The whole loan is returned, so a repeated message changes nothing. */
  giveBack(peer: string, call: BorrowCall): Promise<void>
}

/** The lender's side of {@link PeerPermits}; idempotent by loan id. */
export interface PermitHandlers {
  onBorrow(call: BorrowCall): BorrowAnswer
  onGiveBack(call: BorrowCall): void
}

/** Permits of one team at one entry host. */
export interface TeamPermitStatus {
  team: string
  limit: number
  own: number
  lent: number
  borrowed: number
  inUse: number
  /** Work that runs beyond the permits held after the limit was lowered. */
  overBy: number
}

/** The permits of one entry host. */
export interface TeamPermits {
  /** Takes a permit, or returns undefined when none is free or the view is not confirmed. */
  tryTake(team: string): Permit | undefined
  configure(cfg: PermitConfiguration): void
  /** Sets the time from which no permit is given out, in milliseconds of the clock. */
  setConfirmed(until: number): void
  /** Number of starts that wait for a permit. It sets how many are asked for. */
  setWaiting(team: string, count: number): void
  /** Takes over a peer's spare permits per team from the last exchange. */
  observePeer(member: string, spare: ReadonlyMap<string, number>): void
  /** Spare permits per team, for the exchange. */
  spare(): Map<string, number>
  inUse(): Map<string, number>
  held(): Map<string, number>
  overBy(team: string): number
  status(): TeamPermitStatus[]
  /** True once this incarnation was removed; only a new one may hold permits again. */
  isRemoved(): boolean
  readonly handlers: PermitHandlers
  /** Runs {@link tick} on a timer. */
  start(): void
  /** Begins whatever is due: loans, renewals, ledger transactions. */
  tick(): void
  /** Returns loans and gives up the ledger counts; resolves when done or at the deadline. */
  close(opts: { deadline: number }): Promise<void>
}
