import type { ConfigView } from '@bulrushbridge/config-view'
import type { TeamPermits } from '@bulrushbridge/team-limit'
import type { MembershipTask } from './membership-task.js'

/**
 * Longest time that a new entry host reports itself as not ready while it waits for permits, in
 * milliseconds. Without permits it would refuse its first burst of requests.
 */
const maxPermitWaitMs = 10_000

/**
 * Whether this entry host holds permits of every team. A team whose limit is below the number of
 * entry hosts is left out, because its permits do not suffice for all of them.
 */
function hasPermits(view: ConfigView, permits: TeamPermits): boolean {
  const { teams, members } = view.current()
  const held = permits.held()
  const memberCount = Object.keys(members).length
  return Object.values(teams).every(
    ({ name, limit }) => limit < memberCount || (held.get(name) ?? 0) > 0,
  )
}

/** The state that readiness depends on. */
export interface ReadinessSources {
  view: ConfigView
  permits: TeamPermits
  membership: MembershipTask
  isShuttingDown(): boolean
}

/**
 * Returns why the balancer should not send callers to this entry host; undefined while it is ready.
 *
 * @example
 * notReadyReason({ view, permits, membership, isShuttingDown }) // 'not registered'
 */
export function notReadyReason(sources: ReadinessSources): string | undefined {
  const { view, permits, membership } = sources
  if (sources.isShuttingDown()) return 'shutting down'
  if (!membership.isRegistered()) return 'not registered'
  if (!view.isConfirmed()) return 'configuration not confirmed'
  const isNew = membership.registeredForMs() < maxPermitWaitMs
  return isNew && !hasPermits(view, permits) ? 'no permits yet' : undefined
}
