import type { FleetTerm } from './fleet-term.js'
import { heldBack, opened } from './host-steps.js'
import { closedHosts, returningZones, zoneChanges } from './zone-returns.js'

/** Follows the zones that operators take out and bring back, and holds and opens their hosts. */
export async function followZones(term: FleetTerm): Promise<void> {
  const { rows, cfg } = term
  const zones = rows.zones()
  const { zonesOut } = cfg
  if (zones.size === 0 && zonesOut.size === 0) return
  const healthy = await healthOfZones(term, returningZones(zones))
  const healthyHosts = (zone: string) => healthy.get(zone) ?? 1
  const changes = zoneChanges({ zonesOut, zones, healthyHosts, now: term.now() })
  for (const { zone, next, rule, action } of changes) {
    await rows.writeZone(zone, next)
    const observed = { healthyHosts: healthyHosts(zone), ...next, zone }
    term.decide('zone', zone, { rule, action, observed })
  }
  await holdAndOpen(term)
}

async function holdAndOpen(term: FleetTerm): Promise<void> {
  const { rows } = term
  const closed = closedHosts(term.fleet(), rows.hosts(), rows.zones())
  for (const row of rows.hosts()) {
    const isClosed = closed.has(row.id)
    const observed = { zone: row.zone }
    if (row.state === 'serving' && isClosed) {
      await rows.writeHost(row.id, heldBack(row))
      term.decide('host', row.id, { rule: 'zone-closed', action: 'hold', observed })
    } else if (row.held === true && !isClosed) {
      await rows.writeHost(row.id, opened(row, term.now()))
      term.decide('host', row.id, { rule: 'zone-return', action: 'open', observed })
    }
  }
}

/** Healthy part of the hosts that a returning zone has open. */
async function healthOfZones(
  term: FleetTerm,
  zones: ReadonlySet<string>,
): Promise<Map<string, number>> {
  const parts = [...zones].map(async zone => {
    const open = term.rows.hosts().filter(row => row.zone === zone && row.state === 'serving')
    const results = await Promise.all(
      open.map(row => term.observer.health(row.id, term.probed(row))),
    )
    const healthy = results.filter(health => health === 'healthy').length
    return [zone, open.length === 0 ? 1 : healthy / open.length] as const
  })
  return new Map(await Promise.all(parts))
}
