import { poolMargin, withoutHost, type Fleet, type FleetHost } from '@bulrushbridge/host-pools'

/** Why a host may not leave. */
export type StayReason = 'not-serving' | 'zone-out' | 'budget'

/** Answer of {@link mayLeave}. */
export type LeaveAnswer = { leave: true } | { leave: false; reason: StayReason }

/**
 * Whether a host may leave now. Each service of its pool must keep its budget without the host
 * should the worst zone go as well. While a zone is out, nothing leaves by plan: the cover for the
 * worst zone is in use and its size after the return is not known.
 *
 * @example
 * const answer = mayLeave(fleet, host)
 */
export function mayLeave(fleet: Fleet, host: FleetHost): LeaveAnswer {
  if (host.state !== 'serving') return { leave: false, reason: 'not-serving' }
  if (fleet.zonesOut.size > 0) return { leave: false, reason: 'zone-out' }
  if (poolMargin(withoutHost(fleet, host.id), host.pool) < 0) {
    return { leave: false, reason: 'budget' }
  }
  return { leave: true }
}
