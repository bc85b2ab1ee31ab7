import { holderId } from './ledger.js'
import type { TeamAccount } from './team-account.js'
import type { PermitContext } from './team-permits.js'

/**
 * Probability that any peer may be asked, not only those with permits at the last read of the
 * ledger, because permits may have moved since then.
 */
const anyPeerProbability = 0.1

/** Highest number of lenders asked at once for one team. */
const maxLenders = 8

/**
 * Time after a refusal for which a lender is asked only when no other is left, in milliseconds.
 * Asking sooner gains little, because the refusal has put this entry host into the lender's queue.
 */
const refusalPauseMs = 200

interface TeamLenders {
  /** Number of lenders asked at once: doubled by each grant, halved by each refusal. */
  concurrency: number
  refusedAt: Map<string, number>
}

/** Chooses the peers that are asked for permits of a team. */
export class LenderSelector {
  readonly #ctx: PermitContext
  readonly #spare = new Map<string, Map<string, number>>()
  readonly #teams = new Map<string, TeamLenders>()

  constructor(ctx: PermitContext) {
    this.#ctx = ctx
  }

  /** Stores a peer's spare permits per team from the last exchange. */
  recordSpare(member: string, spare: ReadonlyMap<string, number>): void {
    this.#spare.set(member, new Map(spare))
  }

  /**
   * Records the answer to a request for `count` permits; `granted` is 0 for a refusal and for a
   * request without an answer. A lender that granted the full count may have more permits; one that
   * granted less has none left.
   */
  recordAnswer(
    team: string,
    lender: string,
    { count, granted }: { count: number; granted: number },
  ): void {
    const lenders = this.#lendersOf(team)
    lenders.concurrency =
      granted > 0
        ? Math.min(maxLenders, lenders.concurrency * 2)
        : Math.max(1, lenders.concurrency / 2)
    if (granted < count) lenders.refusedAt.set(lender, this.#ctx.clock.now())
    else lenders.refusedAt.delete(lender)
    const spare = this.#spare.get(lender) ?? new Map<string, number>()
    this.#spare.set(lender, spare)
    spare.set(team, granted < count ? 0 : Math.max(1, (spare.get(team) ?? 0) - granted))
  }

  /** Returns the lenders to ask, except those in `asked`; peers with spare permits come first. */
  select(team: string, account: TeamAccount, asked: ReadonlySet<string>): string[] {
    const { members, member, rng, clock } = this.#ctx
    const { concurrency, refusedAt } = this.#lendersOf(team)
    const now = clock.now()
    const peers = [...members.keys()].filter(id => id !== member)
    for (const id of refusedAt.keys()) if (!members.has(id)) refusedAt.delete(id)
    const spareOf = (id: string): number => this.#spare.get(id)?.get(team) ?? 0
    const isLedgerHolder = (id: string) =>
      account.ledgerHolders.includes(holderId(id, members.get(id) ?? ''))
    const canAskAny = rng() < anyPeerProbability || !peers.some(isLedgerHolder)
    const ranked = peers
      .map(id => ({
        id,
        spare: spareOf(id),
        isRefused: now - (refusedAt.get(id) ?? -Infinity) < refusalPauseMs,
        isCandidate: canAskAny || isLedgerHolder(id),
        tieBreaker: rng(),
      }))
      .filter(({ id, spare, isCandidate }) => !asked.has(id) && (spare > 0 || isCandidate))
      .sort(
        (a, b) =>
          Number(a.isRefused) - Number(b.isRefused) ||
          b.spare - a.spare ||
          a.tieBreaker - b.tieBreaker,
      )
    // While no peer reports spare permits, few are asked, because most would refuse.
    const reported = ranked.filter(({ spare, isRefused }) => spare > 0 && !isRefused).length
    const count = Math.min(maxLenders, Math.max(Math.floor(concurrency) - asked.size, reported))
    return ranked.slice(0, count).map(({ id }) => id)
  }

  #lendersOf(team: string): TeamLenders {
    const known = this.#teams.get(team)
    if (known) return known
    const created = { concurrency: 1, refusedAt: new Map<string, number>() }
    this.#teams.set(team, created)
    return created
  }
}
