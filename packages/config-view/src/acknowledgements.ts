import type { EnvironmentConfiguration } from '@bulrushbridge/contract'
import { isMajority, intersectsEveryMajority, voterOf, votersOf } from './membership.js'

/** What one process has reported last. */
interface ReportedState {
  version: number
  restrictions: ReadonlySet<string>
}

/** Whether a reported state shows that the process acts on a change. */
export type AcknowledgementCondition = (state: ReportedState) => boolean

/**
 * What each process of an entry host has reported. A process is identified by its voter id, see
 * {@link voterOf}.
 */
export class Acknowledgements {
  readonly #reportedStates = new Map<string, ReportedState>()
  /** Voter id of the newest process seen of each entry host, by host id. */
  readonly #latestVoters = new Map<string, string>()

  recordReport(voter: string, version: number, restrictions: readonly string[]): void {
    const previous = this.#reportedStates.get(voter)
    // A late report of an ended process must not mark its successor as ended.
    if (!previous) this.#latestVoters.set(voter.slice(0, voter.lastIndexOf('@')), voter)
    // Reports may arrive out of order, and the version of a process never decreases.
    const newest = Math.max(version, previous?.version ?? 0)
    this.#reportedStates.set(voter, { version: newest, restrictions: new Set(restrictions) })
  }

  /** The highest version that the process has reported; 0 before its first report. */
  versionOf(voter: string): number {
    return this.#reportedStates.get(voter)?.version ?? 0
  }

  /** Voter ids of the processes whose report meets the condition. */
  acknowledgingVoters(condition: AcknowledgementCondition): Set<string> {
    return new Set(
      [...this.#reportedStates].filter(([, state]) => condition(state)).map(([voter]) => voter),
    )
  }

  /**
   * Those of `voters` whose entry host has since reported with another incarnation. Such a process
   * has ended, so it can neither serve nor count in a majority that would confirm an old view.
   */
  endedVoters(voters: readonly string[]): string[] {
    return voters.filter(voter => {
      const latest = this.#latestVoters.get(voter.slice(0, voter.lastIndexOf('@')))
      return latest !== undefined && latest !== voter
    })
  }

  /** Whether a majority of `voters` meets the condition or has ended. */
  hasMajority(voters: readonly string[], condition: AcknowledgementCondition): boolean {
    return isMajority(this.#acknowledgingOrEnded(voters, condition), voters)
  }

  /** Whether every majority of `voters` contains one that meets the condition or has ended. */
  intersectsEveryMajority(voters: readonly string[], condition: AcknowledgementCondition): boolean {
    return intersectsEveryMajority(this.#acknowledgingOrEnded(voters, condition), voters)
  }

  #acknowledgingOrEnded(
    voters: readonly string[],
    condition: AcknowledgementCondition,
  ): Set<string> {
    return new Set([...this.acknowledgingVoters(condition), ...this.endedVoters(voters)])
  }

  /** Ids of the registered entry hosts, split into those that meet the condition and the rest. */
  partitionMembers(
    cfg: EnvironmentConfiguration,
    condition: AcknowledgementCondition,
  ): { acknowledged: string[]; missing: string[] } {
    const voters = this.acknowledgingVoters(condition)
    const members = Object.values(cfg.members)
    const ids = (isAcknowledged: boolean) =>
      members.filter(m => voters.has(voterOf(m)) === isAcknowledged).map(({ id }) => id)
    return { acknowledged: ids(true), missing: ids(false) }
  }

  /** Whether every registered process meets the condition. */
  hasAll(cfg: EnvironmentConfiguration, condition: AcknowledgementCondition): boolean {
    const voters = this.acknowledgingVoters(condition)
    return votersOf(cfg).every(voter => voters.has(voter))
  }
}
