import type { Clock } from '@bulrushbridge/errors'
import type { TableService } from '@bulrushbridge/store'
import { HolderRegistration } from './holder-registration.js'
import { holderId } from './ledger.js'
import { LedgerSync } from './ledger-sync.js'
import { Lending } from './lending.js'
import { TeamAccount } from './team-account.js'
import type {
  MemberRef,
  PeerPermits,
  Permit,
  PermitConfiguration,
  PermitHandlers,
  TeamPermits,
  TeamPermitStatus,
} from './types.js'

/** Interval of {@link TeamPermits.start} in milliseconds. */
const tickMs = 50

/** Options of {@link createTeamPermits}. */
export interface TeamPermitsOptions {
  member: string
  /** Id of this start of the process. */
  incarnation: string
  table: TableService
  peers: PeerPermits
  /** True once no runner and no worker has work of this removed entry host. */
  isSettled: (member: string, incarnation: string) => Promise<boolean>
  clock: Clock
  /** Returns a uniform number in [0, 1), which spreads the requests of several entry hosts. */
  rng: () => number
  /** Called when a permit of the team has become free here. */
  onFree?: (team: string) => void
  log?: (event: string, fields: Record<string, unknown>) => void
}

/** State shared by the parts that manage the permits of one entry host. */
export interface PermitContext extends Omit<TeamPermitsOptions, 'onFree' | 'log'> {
  holder: string
  version: number
  members: Map<string, string>
  accounts: Map<string, TeamAccount>
  isClosing: boolean
  isRegistered: boolean
  isConfirmed: () => boolean
  isMember: (member: string, incarnation: string) => boolean
  /** Reports that a permit of the team has become free here. */
  notifyFree: (team: string) => void
  log: (event: string, fields: Record<string, unknown>) => void
}

/**
 * Creates the permits of one entry host, which has none at first.
 *
 * @example
 * const permits = createTeamPermits({ member, incarnation, table, peers, isSettled, clock, rng: Math.random })
 * permits.configure({ version: 7, limits: new Map([['lumen', 40]]), members })
 * permits.setConfirmedUntil(view.confirmedUntil)
 * const permit = permits.tryAcquire('lumen')
 */
export function createTeamPermits(opts: TeamPermitsOptions): TeamPermits {
  return new EntryPermits(opts)
}

class EntryPermits implements TeamPermits {
  readonly handlers: PermitHandlers
  readonly #ctx: PermitContext
  readonly #clock: Clock
  readonly #accounts = new Map<string, TeamAccount>()
  readonly #ledger: LedgerSync
  readonly #lending: Lending
  readonly #registration: HolderRegistration
  #confirmedUntil = -Infinity
  #isRemoved = false
  #timer: NodeJS.Timeout | undefined
  #closeRequest: { deadline: number; resolve: () => void } | undefined

  constructor(opts: TeamPermitsOptions) {
    const { clock, member, incarnation } = opts
    this.#clock = clock
    const ctx: PermitContext = {
      ...opts,
      holder: holderId(member, incarnation),
      version: -1,
      members: new Map(),
      accounts: this.#accounts,
      isClosing: false,
      isRegistered: false,
      isConfirmed: () => !this.#isRemoved && clock.now() < this.#confirmedUntil,
      isMember: (id, memberIncarnation) => ctx.members.get(id) === memberIncarnation,
      notifyFree: team => opts.onFree?.(team),
      log: (event, fields) => opts.log?.(event, fields),
    }
    this.#ctx = ctx
    this.#lending = new Lending(ctx)
    this.#registration = new HolderRegistration(ctx, this.#lending)
    this.#ledger = new LedgerSync(ctx, () => {
      this.#markRemoved()
    })
    this.handlers = this.#lending.handlers
  }

  tryAcquire(team: string): Permit | undefined {
    const now = this.#clock.now()
    if (now >= this.#confirmedUntil || this.#ctx.isClosing) return undefined
    const account = this.#accounts.get(team)
    if (!account?.tryAcquire(now)) return undefined
    let isReleased = false
    return {
      release: () => {
        if (isReleased) return
        isReleased = true
        account.inUse--
        if (account.free(this.#clock.now()) > 0) this.#ctx.notifyFree(team)
      },
    }
  }

  configure(cfg: PermitConfiguration): void {
    const ctx = this.#ctx
    if (cfg.version < ctx.version || this.#isRemoved) return
    const wasMember = ctx.isMember(ctx.member, ctx.incarnation)
    ctx.version = cfg.version
    ctx.members = new Map(cfg.members.map((m: MemberRef) => [m.id, m.incarnation]))
    for (const [team, limit] of cfg.limits) {
      const account = this.#accounts.get(team) ?? new TeamAccount()
      this.#accounts.set(team, account)
      account.setLimit(limit)
    }
    for (const [team, account] of this.#accounts) {
      if (!cfg.limits.has(team)) account.setLimit(0)
    }
    if (wasMember && !ctx.isMember(ctx.member, ctx.incarnation)) this.#markRemoved()
    this.#lending.dropRemovedPeers()
    this.#ledger.makeAllDue()
  }

  setConfirmedUntil(until: number): void {
    if (!this.#isRemoved) this.#confirmedUntil = until
  }

  setWaitingCount(team: string, count: number): void {
    this.#accounts.get(team)?.setWaitingCount(count)
  }

  recordPeerSpare(member: string, spare: ReadonlyMap<string, number>): void {
    this.#lending.recordPeerSpare(member, spare)
  }

  spare(): Map<string, number> {
    const entries = [...this.#accounts].map(([team, account]) => [team, account.spare()] as const)
    return new Map(entries.filter(([, spare]) => spare > 0))
  }

  inUse(): Map<string, number> {
    return new Map([...this.#accounts].map(([team, account]) => [team, account.inUse]))
  }

  held(): Map<string, number> {
    return new Map([...this.#accounts].map(([team, account]) => [team, account.held()]))
  }

  excess(team: string): number {
    const account = this.#accounts.get(team)
    return account ? Math.max(0, account.inUse - account.held()) : 0
  }

  status(): TeamPermitStatus[] {
    return [...this.#accounts].map(([team, account]) => {
      const { limit, own, lent, inUse } = account
      const borrowed = account.held() - own + lent
      return { team, limit, own, lent, borrowed, inUse, excess: this.excess(team) }
    })
  }

  isRemoved(): boolean {
    return this.#isRemoved
  }

  start(): void {
    this.#timer ??= setInterval(() => {
      this.tick()
    }, tickMs).unref()
  }

  tick(): void {
    const now = this.#clock.now()
    if (!this.#isRemoved) {
      this.#lending.tick(now)
      if (this.#ctx.isRegistered) this.#ledger.tick(now)
      this.#registration.tick(now)
    }
    if (this.#closeRequest && (this.#isDone() || now >= this.#closeRequest.deadline)) {
      clearInterval(this.#timer)
      this.#closeRequest.resolve()
    }
  }

  close(opts: { deadline: number }): Promise<void> {
    this.#ctx.isClosing = true
    this.#ledger.makeAllDue()
    // The timer keeps the process running until its ledger entries are removed.
    this.#timer?.ref()
    return new Promise(resolve => {
      this.#closeRequest = { deadline: opts.deadline, resolve }
    })
  }

  #isDone(): boolean {
    return this.#isRemoved || this.#registration.isDeregistered()
  }

  /**
   * Gives up all permits, because this incarnation was removed. Work that still runs is counted in
   * the ledger.
   */
  #markRemoved(): void {
    this.#isRemoved = true
    this.#confirmedUntil = -Infinity
    for (const account of this.#accounts.values()) account.own = 0
    this.#ctx.log('permits-removed', { holder: this.#ctx.holder })
  }
}
