import type { Configuration } from '@bulrushbridge/contract'
import { isMajority, meetsEveryMajority, voteOf, votesOf } from './membership.js'

interface Known {
  version: number
  restrictions: ReadonlySet<string>
}

/** A condition that a process acknowledges by its report. */
export type Acknowledged = (known: Known) => boolean

/** What each process of an entry host has reported. */
export class Acknowledgements {
  readonly #known = new Map<string, Known>()
  /** The newest process seen of each entry host. */
  readonly #incarnations = new Map<string, string>()

  report(vote: string, version: number, restrictions: readonly string[]): void {
    const before = this.#known.get(vote)
    // A late report of an ended process must not make its successor look ended.
    if (!before) this.#incarnations.set(vote.slice(0, vote.lastIndexOf('@')), vote)
    // Reports may arrive out of order, and a view never goes back.
    const newest = Math.max(version, before?.version ?? 0)
    this.#known.set(vote, { version: newest, restrictions: new Set(restrictions) })
  }

  versionOf(vote: string): number {
    return this.#known.get(vote)?.version ?? 0
  }

  /** Votes that acknowledge the condition. */
  votes(condition: Acknowledged): Set<string> {
    return new Set([...this.#known].filter(([, known]) => condition(known)).map(([vote]) => vote))
  }

  /**
   * Registered processes whose entry host has answered with another incarnation. They have ended,
   * so they can neither serve nor take part in a majority that would confirm an old view.
   */
  ended(votes: readonly string[]): string[] {
    return votes.filter(vote => {
      const latest = this.#incarnations.get(vote.slice(0, vote.lastIndexOf('@')))
      return latest !== undefined && latest !== vote
    })
  }

  /** Whether a majority of `votes` acknowledges the condition or has ended. */
  hasMajority(votes: readonly string[], condition: Acknowledged): boolean {
    return isMajority(this.#acknowledging(votes, condition), votes)
  }

  /** Whether no majority of `votes` can be found that neither acknowledges nor has ended. */
  meetsEveryMajority(votes: readonly string[], condition: Acknowledged): boolean {
    return meetsEveryMajority(this.#acknowledging(votes, condition), votes)
  }

  #acknowledging(votes: readonly string[], condition: Acknowledged): Set<string> {
    return new Set([...this.votes(condition), ...this.ended(votes)])
  }

  /** Ids of the registered entry hosts that do and that do not acknowledge the condition. */
  split(
    cfg: Configuration,
    condition: Acknowledged,
  ): { acknowledged: string[]; missing: string[] } {
    const votes = this.votes(condition)
    const members = Object.values(cfg.members)
    const ids = (held: boolean) =>
      members.filter(m => votes.has(voteOf(m)) === held).map(({ id }) => id)
    return { acknowledged: ids(true), missing: ids(false) }
  }

  /** Whether every registered process acknowledges the condition. */
  hasAll(cfg: Configuration, condition: Acknowledged): boolean {
    const votes = this.votes(condition)
    return votesOf(cfg).every(vote => votes.has(vote))
  }
}
