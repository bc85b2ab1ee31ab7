import type { Change, EnvironmentConfiguration, Member } from '@bulrushbridge/contract'

/**
 * Id under which one process of an entry host counts in majorities. It includes the incarnation,
 * because a restarted process has lost what it held in memory: it must not count until it is
 * registered with its new incarnation.
 */
export function voterOf(member: { id: string; incarnation: string }): string {
  return `${member.id}@${member.incarnation}`
}

/** Voter ids of the registered entry hosts. */
export function votersOf(cfg: EnvironmentConfiguration): string[] {
  return Object.values(cfg.members).map(voterOf)
}

/** Whether `voters` include more than half of `all`; false when `all` is empty. */
export function isMajority(voters: ReadonlySet<string>, all: readonly string[]): boolean {
  return all.filter(voter => voters.has(voter)).length > all.length / 2
}

/**
 * Whether every majority of `all` contains one of `voters`; false when `all` is empty. When the
 * number of `all` is even, exactly half of them is enough, because the other half is no majority.
 */
export function intersectsEveryMajority(
  voters: ReadonlySet<string>,
  all: readonly string[],
): boolean {
  return all.length > 0 && all.filter(voter => voters.has(voter)).length >= all.length / 2
}

/** Whether a change alters the set of registered entry hosts. */
export function isMembershipChange(
  change: Change,
): change is Extract<Change, { kind: 'member-join' | 'member-leave' }> {
  return change.kind === 'member-join' || change.kind === 'member-leave'
}

/** The other registered entry hosts. */
export function peersOf(cfg: EnvironmentConfiguration, self: string): Member[] {
  return Object.values(cfg.members).filter(member => member.id !== self)
}
