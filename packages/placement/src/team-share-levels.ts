import type { ResourceAmounts } from '@bulrushbridge/host'
import { dominantShare } from '@bulrushbridge/team-share'
import {
  addResources,
  sumResources,
  subtractResources,
  toShareResources,
} from './work-resources.js'

/** Options of {@link TeamShareLevels}. */
export interface TeamShareLevelsOptions {
  /** Resources of the pool. */
  capacity: ResourceAmounts
  shares: ReadonlyMap<string, number>
  /** Resources of running tasks. */
  usage: Iterable<ResourceAmounts & { team: string }>
  /** Teams with waiting jobs. These teams and the teams with running tasks divide the pool. */
  waitingTeams: Iterable<string>
}

/**
 * Level of each team: the part of its share that it uses. Level 1 is the team's share of the pool
 * among the teams with demand, measured by the resource of which the team uses the largest
 * fraction.
 */
export class TeamShareLevels {
  readonly #capacity: ResourceAmounts
  readonly #shares: ReadonlyMap<string, number>
  readonly #usage = new Map<string, ResourceAmounts>()
  readonly #totalShares: number

  constructor({ capacity, shares, usage, waitingTeams }: TeamShareLevelsOptions) {
    this.#capacity = capacity
    this.#shares = shares
    for (const item of usage) this.add(item.team, item)
    const teams = new Set([...this.#usage.keys(), ...waitingTeams])
    this.#totalShares = [...teams].reduce((sum, team) => sum + this.#shareOf(team), 0)
  }

  /** The level of a team that uses `additional` besides its current usage. */
  levelOf(team: string, additional: readonly ResourceAmounts[] = []): number {
    const usage = sumResources([this.#usage.get(team) ?? sumResources([]), ...additional])
    const poolFraction = dominantShare(toShareResources(usage), toShareResources(this.#capacity))
    return (poolFraction * this.#totalShares) / this.#shareOf(team)
  }

  add(team: string, size: ResourceAmounts): void {
    const usage = this.#usage.get(team) ?? sumResources([])
    addResources(usage, size)
    this.#usage.set(team, usage)
  }

  remove(team: string, size: ResourceAmounts): void {
    const usage = this.#usage.get(team)
    if (usage !== undefined) subtractResources(usage, size)
  }

  #shareOf(team: string): number {
    return this.#shares.get(team) ?? 1
  }
}
