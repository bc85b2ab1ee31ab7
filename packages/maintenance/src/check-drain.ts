import { poolMargin, withHostDraining, type Fleet, type FleetHost } from '@bulrushbridge/host-pools'

/** Why a host may not start its drain. */
export type DrainRefusal = 'not-serving' | 'zone-out' | 'budget'

/** Result of {@link checkDrain}. */
export type DrainCheck = { isAllowed: true } | { isAllowed: false; reason: DrainRefusal }

/**
 * Checks whether a host may start its drain for maintenance now. Without the host, each service of
 * its pool must keep its availability budget even if the zone with most of its hosts fails. While a
 * zone is out of service, no host is drained for maintenance, because the reserve for a zone
 * failure is in use and its size after the zone returns is not known.
 *
 * @example
 * const { isAllowed } = checkDrain(fleet, host)
 */
export function checkDrain(fleet: Fleet, host: FleetHost): DrainCheck {
  if (host.state !== 'serving') return { isAllowed: false, reason: 'not-serving' }
  if (fleet.zonesOut.size > 0) return { isAllowed: false, reason: 'zone-out' }
  if (poolMargin(withHostDraining(fleet, host.id), host.pool) < 0) {
    return { isAllowed: false, reason: 'budget' }
  }
  return { isAllowed: true }
}
