import { workerKey, hostsTable, type PlatformHost, type WorkerRow } from '@bulrushbridge/host'
import type { FleetHost, HostState } from '@bulrushbridge/host-pools'
import type { Write } from '@bulrushbridge/store'
import type { ZoneReturn } from '@bulrushbridge/zone-withdrawal'

/** Table of the authoritative row of each host, keyed by host id. */
export const fleetHostsTable = 'fleet-hosts'

/** Table of zones that are out or returning, keyed by zone. */
export const fleetZonesTable = 'fleet-zones'

/** How a host's part in a wave ended; the last two halt waves. */
export type WaveOutcome = 'healthy' | 'unhealthy' | 'missing'

/**
 * Authoritative row of a host. Times are wall-clock milliseconds, because the next holder of the
 * duty is another process.
 */
export interface FleetHostRow extends Omit<WorkerRow, 'pool'> {
  /** Pool to which the host belongs by the document; a lent host is in another one. */
  home: string
  /** The only pool the host belongs to. During a move it is the old pool until the host is empty. */
  pool: string
  state: HostState
  /** Rises by one with each order to the platform. */
  generation: number
  /** Target pool of a move; absent while a host drains for maintenance. */
  movingTo?: string | undefined
  /** The boot that the host last served with; a reboot is done when the list shows another one. */
  bootId: string
  maintainedAt: number
  /** Return deadline of a host that was told to reboot or to open. */
  backBy?: number | undefined
  /** The last wave that the host was part of. */
  wave?: string | undefined
  outcome?: WaveOutcome | undefined
  /** True for a joining host that waits until the return of its zone reaches it. */
  held?: boolean | undefined
  failedAt?: number | undefined
}

/** A zone that is out of service or comes back. */
export type FleetZoneRow = { phase: 'out' } | ({ phase: 'returning' } & ZoneReturn)

/** Memory of a host in GB for the decisions; rows count MiB. */
const mibPerGb = 1024

/** The host as the decision functions see it. */
export function asFleetHost(row: FleetHostRow): FleetHost {
  const { id, pool, zone, rack, state, maintainedAt } = row
  const capacity = { cores: row.cpus, memoryGb: row.memoryMb / mibPerGb }
  return { id, pool, zone, rack, state, maintainedAt, capacity }
}

/** The part of a row that the platform's list decides. */
export function listedPart(
  host: PlatformHost,
): Pick<FleetHostRow, 'address' | 'zone' | 'rack' | 'cpus' | 'memoryMb' | 'accelerators'> {
  const { address, zone, rack, cpus, memoryMb, accelerators } = host
  return { address, zone, rack, cpus, memoryMb, accelerators }
}

/** The host's row in `hosts`, which exists only while the host serves. */
function projectionOf(row: FleetHostRow): WorkerRow | undefined {
  if (row.state !== 'serving') return undefined
  const { id, pool, rack, zone, address, cpus, memoryMb, accelerators } = row
  return { id, pool, rack, zone, address, cpus, memoryMb, accelerators }
}

/**
 * Writes that bring the projection from one row to the next. An unchanged projection is not
 * written, because claims check its version.
 */
export function projectionWrites(before?: FleetHostRow, after?: FleetHostRow): Write[] {
  const [old, next] = [before && projectionOf(before), after && projectionOf(after)]
  if (JSON.stringify(old) === JSON.stringify(next)) return []
  const writes: Write[] = []
  const remove = (row: WorkerRow) =>
    writes.push({ table: hostsTable, key: workerKey(row.pool, row.id), value: null })
  if (old !== undefined && old.pool !== next?.pool) remove(old)
  if (next !== undefined) {
    writes.push({ table: hostsTable, key: workerKey(next.pool, next.id), value: next })
  }
  return writes
}
