import type { FleetTerm } from './fleet-term.js'
import { toHeldRow, toOpeningRow } from './host-steps.js'
import { findClosedHosts, findReturningZones, planZoneChanges } from './zone-returns.js'

/**
 * Updates the zone rows to the zones that operators take out of service and bring back, and holds
 * or opens the hosts of these zones.
 */
export async function reconcileZones(term: FleetTerm): Promise<void> {
  const { rows, cfg } = term
  const zones = rows.zones()
  const { zonesOut } = cfg
  if (zones.size === 0 && zonesOut.size === 0) return
  const healthyFractions = await checkZoneHealth(term, findReturningZones(zones))
  const getHealthyFraction = (zone: string) => healthyFractions.get(zone) ?? 1
  const changes = planZoneChanges({ zonesOut, zones, getHealthyFraction, now: term.wallNow() })
  for (const { zone, next, rule, action } of changes) {
    await rows.writeZone(zone, next)
    const observed = { healthyHosts: getHealthyFraction(zone), ...next, zone }
    term.recordDecision('zone', zone, { rule, action, observed })
  }
  await holdAndOpenHosts(term)
}

/** Holds serving hosts that their zone closes, and opens held hosts that it no longer closes. */
async function holdAndOpenHosts(term: FleetTerm): Promise<void> {
  const { rows } = term
  const closedHosts = findClosedHosts(term.currentFleet(), rows.hosts(), rows.zones())
  for (const row of rows.hosts()) {
    const isClosed = closedHosts.has(row.id)
    const observed = { zone: row.zone }
    if (row.state === 'serving' && isClosed) {
      await rows.writeHost(row.id, toHeldRow(row))
      term.recordDecision('host', row.id, { rule: 'zone-closed', action: 'hold', observed })
    } else if (row.held === true && !isClosed) {
      await rows.writeHost(row.id, toOpeningRow(row, term.wallNow()))
      term.recordDecision('host', row.id, { rule: 'zone-return', action: 'open', observed })
    }
  }
}

/** Returns the healthy fraction of the serving hosts of each zone; 1 for a zone without any. */
async function checkZoneHealth(
  term: FleetTerm,
  zones: ReadonlySet<string>,
): Promise<Map<string, number>> {
  const fractions = [...zones].map(async zone => {
    const openRows = term.rows.hosts().filter(row => row.zone === zone && row.state === 'serving')
    const results = await Promise.all(
      openRows.map(row => term.observer.checkHealth(row.id, term.toProbedHost(row))),
    )
    const healthyCount = results.filter(health => health === 'healthy').length
    return [zone, openRows.length === 0 ? 1 : healthyCount / openRows.length] as const
  })
  return new Map(await Promise.all(fractions))
}
