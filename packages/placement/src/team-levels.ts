import type { WorkResources } from '@bulrushbridge/host'
import { dominantShare } from '@bulrushbridge/team-share'
import { giveBack, sumOf, take, toResources } from './amounts.js'

/** What the levels of teams are computed from. */
export interface TeamLevelsOptions {
  capacity: WorkResources
  shares: ReadonlyMap<string, number>
  /** What runs. */
  usage: Iterable<WorkResources & { team: string }>
  /** Teams with waiting jobs; with those that run something they divide the pool. */
  waiting: Iterable<string>
}

/**
 * How much of its share each team uses: 1 is its share of the pool among the teams with demand,
 * measured by the resource of which it uses most.
 */
export class TeamLevels {
  readonly #capacity: WorkResources
  readonly #shares: ReadonlyMap<string, number>
  readonly #usage = new Map<string, WorkResources>()
  readonly #total: number

  constructor({ capacity, shares, usage, waiting }: TeamLevelsOptions) {
    this.#capacity = capacity
    this.#shares = shares
    for (const item of usage) this.add(item.team, item)
    const teams = new Set([...this.#usage.keys(), ...waiting])
    this.#total = [...teams].reduce((sum, team) => sum + this.#share(team), 0)
  }

  /** The level of a team, with `more` on top of what it uses. */
  of(team: string, more: readonly WorkResources[] = []): number {
    const usage = sumOf([this.#usage.get(team) ?? sumOf([]), ...more])
    const dominant = dominantShare(toResources(usage), toResources(this.#capacity))
    return (dominant * this.#total) / this.#share(team)
  }

  add(team: string, size: WorkResources): void {
    const usage = this.#usage.get(team) ?? sumOf([])
    giveBack(usage, size)
    this.#usage.set(team, usage)
  }

  remove(team: string, size: WorkResources): void {
    const usage = this.#usage.get(team)
    if (usage !== undefined) take(usage, size)
  }

  #share(team: string): number {
    return this.#shares.get(team) ?? 1
  }
}
