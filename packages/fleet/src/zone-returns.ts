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

/** Next row of a zone; `next` undefined removes it. */
export interface ZoneChange {
  zone: string
  next: FleetZoneRow | undefined
  rule: string
  action: string
}

/** Rows that the zones in the configuration call for, in wall-clock milliseconds. */
export function zoneChanges(opts: {
  zonesOut: ReadonlySet<string>
  zones: ReadonlyMap<string, FleetZoneRow>
  /** Part of the opened hosts of a zone that are healthy, 0 to 1. */
  healthyHosts: (zone: string) => number
  now: number
}): ZoneChange[] {
  const { zonesOut, zones, now } = opts
  const out = [...zonesOut]
    .filter(zone => zones.get(zone)?.phase !== 'out')
    .map(zone => ({ zone, next: { phase: 'out' as const }, rule: 'zone-out', action: 'hold' }))
  const back = [...zones].flatMap(([zone, row]): ZoneChange[] => {
    if (zonesOut.has(zone)) return []
    if (row.phase === 'out') {
      const next = { phase: 'returning' as const, ...beginReturn(zone, now) }
      return [{ zone, next, rule: 'zone-return', action: 'open-part' }]
    }
    if (canEndLoans(row, now)) {
      return [{ zone, next: undefined, rule: 'zone-return', action: 'finish' }]
    }
    return advance(zone, row, opts.healthyHosts(zone), now)
  })
  return [...out, ...back]
}

function advance(
  zone: string,
  row: ZoneReturn & { phase: 'returning' },
  healthyHosts: number,
  now: number,
): ZoneChange[] {
  // One setback for each wait; rounds are shorter than a step.
  if (row.setbacks > 0 && now < row.nextAt) return []
  // Failed requests are known to the entry hosts alone, which eject the runners themselves.
  const next = advanceReturn(
    row,
    { healthyHostFraction: healthyHosts, failedRequestFraction: 0 },
    now,
  )
  if (next.step === row.step && next.nextAt === row.nextAt) return []
  const action = next.setbacks > row.setbacks ? 'step-back' : 'open-part'
  return [{ zone, next: { phase: 'returning', ...next }, rule: 'zone-return', action }]
}

/** Zones that come back and whose hosts are not all open yet. */
export function returningZones(zones: ReadonlyMap<string, FleetZoneRow>): Set<string> {
  return new Set(
    [...zones].flatMap(([zone, row]) => {
      return row.phase === 'returning' && !isReturned(row) ? zone : []
    }),
  )
}

/** Hosts that their zone keeps from work: all of a zone that is out, a part of a returning one. */
export function closedHosts(
  fleet: Fleet,
  rows: readonly FleetHostRow[],
  zones: ReadonlyMap<string, FleetZoneRow>,
): Set<string> {
  const waiting = new Set(rows.flatMap(row => (isWaiting(row) ? row.id : [])))
  const hosts = fleet.hosts.map(host =>
    waiting.has(host.id) ? { ...host, state: 'serving' as const } : host,
  )
  const closed = new Set<string>()
  for (const [zone, row] of zones) {
    const open = row.phase === 'out' ? [] : selectOpenHosts({ ...fleet, hosts }, row)
    for (const host of hosts) {
      if (host.zone === zone && !open.includes(host.id)) closed.add(host.id)
    }
  }
  return closed
}

/** Whether the host could serve were it not for its zone. */
function isWaiting(row: FleetHostRow): boolean {
  return row.state === 'serving' || row.state === 'joining'
}
