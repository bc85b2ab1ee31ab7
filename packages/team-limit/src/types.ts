/** Right to run one piece of work. */
export interface Permit {
  /** Releases the permit once the work is known to have ended; a second call changes nothing. */
  release(): void
}

/** A registered entry host. `Member` of the contract package is assignable to it. */
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

/** Request to a lender to grant, renew or end one loan of permits of a team. */
export interface BorrowCall {
  team: string
  count: number
  loanId: string
}

/** A lender's answer to a {@link BorrowCall}; `granted` is 0 when it lends nothing. */
export interface BorrowAnswer {
  granted: number
  /** Validity counted from when the request was sent; 0 recalls a loan that is being renewed. */
  validForMs: number
}

/** Calls to peers, which the entry host implements with its peer service. */
export interface PeerPermits {
  /** Requests a loan, or renews the loan with the same id. */
  borrow(peer: string, call: BorrowCall): Promise<BorrowAnswer>
  /** Ends a loan. The whole loan is returned, so a repeated message changes nothing. */
  returnLoan(peer: string, call: BorrowCall): Promise<void>
}

/** The lender's handlers for the calls of {@link PeerPermits}. Repeating a call changes nothing. */
export interface PermitHandlers {
  onBorrow(call: BorrowCall): BorrowAnswer
  onReturn(call: BorrowCall): void
}

/** Permits of one team at one entry host. */
export interface TeamPermitStatus {
  team: string
  limit: number
  own: number
  lent: number
  borrowed: number
  inUse: number
  /** Number of permits in use beyond those held, after the limit was lowered. */
  excess: number
}

/** The permits of one entry host. */
export interface TeamPermits {
  /** Takes a permit; undefined when none is free or the configuration is not confirmed. */
  tryAcquire(team: string): Permit | undefined
  configure(cfg: PermitConfiguration): void
  /**
   * Sets the time until which the configuration is confirmed, in milliseconds of the clock. From
   * then on no permit is given out.
   */
  setConfirmedUntil(until: number): void
  /** Sets how much work waits for a permit and so how many permits are requested from peers. */
  setWaitingCount(team: string, count: number): void
  /** Stores a peer's spare permits per team from the last exchange. */
  recordPeerSpare(member: string, spare: ReadonlyMap<string, number>): void
  /** Returns the spare permits per team, which the exchange reports to peers. */
  spare(): Map<string, number>
  inUse(): Map<string, number>
  held(): Map<string, number>
  /** Returns how many permits of a team are in use beyond those held. */
  excess(team: string): number
  status(): TeamPermitStatus[]
  /** True once this incarnation was removed; only a new incarnation can hold permits again. */
  isRemoved(): boolean
  readonly handlers: PermitHandlers
  /** Runs {@link tick} on a timer. */
  start(): void
  /** Starts the loan requests, renewals, returns and ledger transactions that are due. */
  tick(): void
  /** Returns loans and removes the ledger entries; resolves when done or at the deadline. */
  close(opts: { deadline: number }): Promise<void>
}
