import type { ConfigView } from '@bulrushbridge/config-view'
import type { TeamPermits } from '@bulrushbridge/team-limit'
import type { MembershipTask } from './membership-task.js'

/**
 * Longest time that a new entry host stays out of the balancer while it waits for its part of the
 * teams' permits, in milliseconds. Without permits it would refuse its first burst.
 */
const permitWaitMs = 10_000

/** Whether this entry host holds permits of every team whose limit leaves it some. */
function hasPermits(view: ConfigView, permits: TeamPermits): boolean {
  const { teams, members } = view.current()
  const held = permits.held()
  const count = Object.keys(members).length
  return Object.values(teams).every(({ name, limit }) => limit < count || (held.get(name) ?? 0) > 0)
}

/** What readiness depends on. */
export interface ReadinessSources {
  view: ConfigView
  permits: TeamPermits
  membership: MembershipTask
  isShuttingDown(): boolean
}

/**
 * Why the balancer should send callers elsewhere; undefined while this entry host is ready.
 *
 * @example
 * notReadyReason({ view, permits, membership, isShuttingDown }) // 'not registered'
 */
export function notReadyReason(sources: ReadinessSources): string | undefined {
  const { view, permits, membership } = sources
  if (sources.isShuttingDown()) return 'shutting down'
  if (!membership.isRegistered()) return 'not registered'
  if (!view.isConfirmed()) return 'configuration not confirmed'
  const isNew = membership.registeredForMs() < permitWaitMs
  return isNew && !hasPermits(view, permits) ? 'no permits yet' : undefined
}
