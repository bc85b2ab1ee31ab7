import { holderId } from './ledger.js'
import type { TeamAccount } from './team-account.js'
import type { PermitContext } from './team-permits.js'

/** Part of the requests that go to any peer, because permits may have moved since the last read. */
const staleOwnersShare = 0.1

/** Most lenders asked at once for one team. */
const maxLenders = 8

/**
 * Time for which a lender that refused is passed over while others are left, in milliseconds. The
 * refusal has put this entry host into its queue, so asking again sooner gains little.
 */
const refusedMs = 200

interface TeamLenders {
  /** Number of lenders asked at once: doubled by each grant, halved by each refusal. */
  width: number
  refusedAt: Map<string, number>
}

/** Chooses the peers that are asked for permits of a team. */
export class LenderChoice {
  readonly #ctx: PermitContext
  readonly #spare = new Map<string, Map<string, number>>()
  readonly #teams = new Map<string, TeamLenders>()

  constructor(ctx: PermitContext) {
    this.#ctx = ctx
  }

  /** Takes over a peer's spare permits per team from the last exchange. */
  observe(member: string, spare: ReadonlyMap<string, number>): void {
    this.#spare.set(member, new Map(spare))
  }

  /**
   * Learns from an answer to a request for `count` permits; `granted` is 0 for a refusal and for a
   * request without an answer. A lender that granted all may have more; one that granted less has
   * no more.
   */
  answered(
    team: string,
    lender: string,
    { count, granted }: { count: number; granted: number },
  ): void {
    const lenders = this.#lendersOf(team)
    lenders.width =
      granted > 0 ? Math.min(maxLenders, lenders.width * 2) : Math.max(1, lenders.width / 2)
    if (granted < count) lenders.refusedAt.set(lender, this.#ctx.clock.now())
    else lenders.refusedAt.delete(lender)
    const spare = this.#spare.get(lender) ?? new Map<string, number>()
    this.#spare.set(lender, spare)
    spare.set(team, granted < count ? 0 : Math.max(1, (spare.get(team) ?? 0) - granted))
  }

  /** Lenders to ask now, without those in `asked`; the ones that report spare permits first. */
  choose(team: string, account: TeamAccount, asked: ReadonlySet<string>): string[] {
    const { members, member, rng, clock } = this.#ctx
    const { width, refusedAt } = this.#lendersOf(team)
    const now = clock.now()
    const peers = [...members.keys()].filter(id => id !== member)
    for (const id of refusedAt.keys()) if (!members.has(id)) refusedAt.delete(id)
    const spareOf = (id: string): number => this.#spare.get(id)?.get(team) ?? 0
    const isOwner = (id: string) => account.owners.includes(holderId(id, members.get(id) ?? ''))
    const isStale = rng() < staleOwnersShare || !peers.some(isOwner)
    const ranked = peers
      .map(id => ({
        id,
        spare: spareOf(id),
        refused: now - (refusedAt.get(id) ?? -Infinity) < refusedMs,
        owner: isStale || isOwner(id),
        order: rng(),
      }))
      .filter(({ id, spare, owner }) => !asked.has(id) && (spare > 0 || owner))
      .sort(
        (a, b) => Number(a.refused) - Number(b.refused) || b.spare - a.spare || a.order - b.order,
      )
    // Where no spare permits are reported, few are asked, because most would refuse.
    const reported = ranked.filter(({ spare, refused }) => spare > 0 && !refused).length
    const count = Math.min(maxLenders, Math.max(Math.floor(width) - asked.size, reported))
    return ranked.slice(0, count).map(({ id }) => id)
  }

  #lendersOf(team: string): TeamLenders {
    const known = this.#teams.get(team)
    if (known) return known
    const created = { width: 1, refusedAt: new Map<string, number>() }
    this.#teams.set(team, created)
    return created
  }
}
