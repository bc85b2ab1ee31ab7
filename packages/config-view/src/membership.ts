import type { Change, Configuration, Member } from '@bulrushbridge/contract'

/**
 * A vote belongs to one process, not to a host: a restarted process has lost what it held in
 * memory, so it must not count until it is registered with its new incarnation.
 */
export function voteOf(member: { id: string; incarnation: string }): string {
  return `${member.id}@${member.incarnation}`
}

/** Votes of the registered entry hosts. */
export function votesOf(cfg: Configuration): string[] {
  return Object.values(cfg.members).map(voteOf)
}

/** Whether `votes` hold more than half of `all`; never true of an empty set. */
export function isMajority(votes: ReadonlySet<string>, all: readonly string[]): boolean {
  return all.filter(vote => votes.has(vote)).length > all.length / 2
}

/**
 * Whether every majority of `all` contains one of `votes`; never true of an empty set. Of an even
 * number one half is enough, which leaves no majority among the others.
 */
export function meetsEveryMajority(votes: ReadonlySet<string>, all: readonly string[]): boolean {
  return all.length > 0 && all.filter(vote => votes.has(vote)).length >= all.length / 2
}

/** Whether a change alters the set of registered entry hosts. */
export function isMembershipChange(
  change: Change,
): change is Extract<Change, { kind: 'member-join' | 'member-leave' }> {
  return change.kind === 'member-join' || change.kind === 'member-leave'
}

/** The other registered entry hosts. */
export function peersOf(cfg: Configuration, self: string): Member[] {
  return Object.values(cfg.members).filter(member => member.id !== self)
}
