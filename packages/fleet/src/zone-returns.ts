import type { Fleet } from '@bulrushbridge/host-pools'
import {
  advanceReturn,
  beginReturn,
  isReturned,
  canEndLoans,
  selectOpenHosts,
  type ZoneReturn,
} from '@bulrushbridge/zone-withdrawal'
import type { FleetHostRow, FleetZoneRow } from './rows.js'

/** A change of a zone's row, with the rule and action for its decision record. */
export interface ZoneChange {
  zone: string
  /** The row to write; undefined removes the row. */
  next: FleetZoneRow | undefined
  rule: string
  action: string
}

/** Plans the changes of zone rows that follow from the zones out in the configuration. */
export function planZoneChanges(opts: {
  zonesOut: ReadonlySet<string>
  zones: ReadonlyMap<string, FleetZoneRow>
  /** Returns the fraction of a zone's opened hosts that are healthy, 0 to 1. */
  getHealthyFraction: (zone: string) => number
  /** Wall-clock milliseconds. */
  now: number
}): ZoneChange[] {
  const { zonesOut, zones, now } = opts
  const withdrawals = [...zonesOut]
    .filter(zone => zones.get(zone)?.phase !== 'out')
    .map(zone => ({ zone, next: { phase: 'out' as const }, rule: 'zone-out', action: 'hold' }))
  const returns = [...zones].flatMap(([zone, row]): ZoneChange[] => {
    if (zonesOut.has(zone)) return []
    if (row.phase === 'out') {
      const next = { phase: 'returning' as const, ...beginReturn(zone, now) }
      return [{ zone, next, rule: 'zone-return', action: 'open-part' }]
    }
    if (canEndLoans(row, now)) {
      return [{ zone, next: undefined, rule: 'zone-return', action: 'finish' }]
    }
    return planReturnStep(zone, row, opts.getHealthyFraction(zone), now)
  })
  return [...withdrawals, ...returns]
}

/** Plans the next step, or the step back, of a returning zone if one is due. */
function planReturnStep(
  zone: string,
  row: ZoneReturn & { phase: 'returning' },
  healthyHostFraction: number,
  now: number,
): ZoneChange[] {
  // At most one setback in each wait. Rounds are shorter than the wait, so a zone that stays
  // unhealthy would otherwise step back in each round.
  if (row.setbacks > 0 && now < row.nextAt) return []
  // Only the entry hosts know of failed requests, and they eject the runners themselves.
  const next = advanceReturn(row, { healthyHostFraction, failedRequestFraction: 0 }, now)
  if (next.step === row.step && next.nextAt === row.nextAt) return []
  const action = next.setbacks > row.setbacks ? 'step-back' : 'open-part'
  return [{ zone, next: { phase: 'returning', ...next }, rule: 'zone-return', action }]
}

/** Finds the zones that are returning and whose hosts are not all open yet. */
export function findReturningZones(zones: ReadonlyMap<string, FleetZoneRow>): Set<string> {
  return new Set(
    [...zones].flatMap(([zone, row]) => {
      return row.phase === 'returning' && !isReturned(row) ? zone : []
    }),
  )
}

/**
 * Finds the hosts that may not serve because of their zone: all hosts of a zone that is out, and
 * those hosts of a returning zone that are not open yet.
 */
export function findClosedHosts(
  fleet: Fleet,
  rows: readonly FleetHostRow[],
  zones: ReadonlyMap<string, FleetZoneRow>,
): Set<string> {
  const candidates = new Set(rows.flatMap(row => (isServingOrJoining(row) ? row.id : [])))
  const hosts = fleet.hosts.map(host =>
    candidates.has(host.id) ? { ...host, state: 'serving' as const } : host,
  )
  const closedHosts = new Set<string>()
  for (const [zone, row] of zones) {
    const openHosts = row.phase === 'out' ? [] : selectOpenHosts({ ...fleet, hosts }, row)
    for (const host of hosts) {
      if (host.zone === zone && !openHosts.includes(host.id)) closedHosts.add(host.id)
    }
  }
  return closedHosts
}

/** Whether the host serves or would serve if its zone were open. */
function isServingOrJoining(row: FleetHostRow): boolean {
  return row.state === 'serving' || row.state === 'joining'
}
