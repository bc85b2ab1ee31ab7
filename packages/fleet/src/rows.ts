import { workerKey, hostsTable, type PlatformHost, type WorkerRow } from '@bulrushbridge/host'
import type { FleetHost, HostState } from '@bulrushbridge/host-pools'
import type { Write } from '@bulrushbridge/store'
import type { ZoneReturn } from '@bulrushbridge/zone-withdrawal'

/** Table with one {@link FleetHostRow} for each host, keyed by host id. */
export const fleetHostsTable = 'fleet-hosts'

/** Table with one {@link FleetZoneRow} for each zone that is out or returning, keyed by zone. */
export const fleetZonesTable = 'fleet-zones'

/** Result of a host's maintenance in a wave; `unhealthy` and `missing` halt the wave. */
export type WaveOutcome = 'healthy' | 'unhealthy' | 'missing'

/**
 * Authoritative row of a host. Times are in wall-clock milliseconds, because the next lease holder
 * of the duty is another process and cannot use this one's monotonic clock.
 */
export interface FleetHostRow extends Omit<WorkerRow, 'pool'> {
  /** Pool that the environment document assigns to the host; a lent host is in another pool. */
  home: string
  /** Pool that the host is in now. During a move it is the old pool until the host is empty. */
  pool: string
  state: HostState
  /** Generation of the last order to the platform. It increases with each new order. */
  generation: number
  /** Target pool of a move; absent while a host drains for maintenance. */
  movingTo?: string | undefined
  /** Boot id with which the host last served. A reboot is done when the list shows another id. */
  bootId: string
  /** When the host was last maintained. */
  maintainedAt: number
  /** Deadline by which a host that was ordered to reboot or to open must be back. */
  backBy?: number | undefined
  /** Id of the last wave that the host was part of. */
  wave?: string | undefined
  /** Result of the host's maintenance in `wave`; absent until it is known. */
  outcome?: WaveOutcome | undefined
  /** True for a joining host that may not open yet, because its zone is out or only partly open. */
  held?: boolean | undefined
  /** When the host failed; absent once it serves again. */
  failedAt?: number | undefined
}

/** State of a zone that is out of service or that returns to service in steps. */
export type FleetZoneRow = { phase: 'out' } | ({ phase: 'returning' } & ZoneReturn)

/** Rows count memory in MiB, decisions count it in GB. */
const mibPerGb = 1024

/** Converts a row to the host that the decision functions take. */
export function toFleetHost(row: FleetHostRow): FleetHost {
  const { id, pool, zone, rack, state, maintainedAt } = row
  const capacity = { cores: row.cpus, memoryGb: row.memoryMb / mibPerGb }
  return { id, pool, zone, rack, state, maintainedAt, capacity }
}

/** Returns the fields of a row that are copied from the platform's host list. */
export function pickListedFields(
  host: PlatformHost,
): Pick<FleetHostRow, 'address' | 'zone' | 'rack' | 'cpus' | 'memoryMb' | 'accelerators'> {
  const { address, zone, rack, cpus, memoryMb, accelerators } = host
  return { address, zone, rack, cpus, memoryMb, accelerators }
}

/**
 * Returns the host's projection, its row in the hosts table, which exists only while the host
 * serves.
 */
function projectRow(row: FleetHostRow): WorkerRow | undefined {
  if (row.state !== 'serving') return undefined
  const { id, pool, rack, zone, address, cpus, memoryMb, accelerators } = row
  return { id, pool, rack, zone, address, cpus, memoryMb, accelerators }
}

/**
 * Computes the writes to the hosts table that follow from a change of a host's row. An unchanged
 * projection is not written, because task claims check its version.
 */
export function computeProjectionWrites(before?: FleetHostRow, after?: FleetHostRow): Write[] {
  const [oldProjection, newProjection] = [before && projectRow(before), after && projectRow(after)]
  if (JSON.stringify(oldProjection) === JSON.stringify(newProjection)) return []
  const writes: Write[] = []
  const pushRemoval = (row: WorkerRow) =>
    writes.push({ table: hostsTable, key: workerKey(row.pool, row.id), value: null })
  if (oldProjection !== undefined && oldProjection.pool !== newProjection?.pool)
    pushRemoval(oldProjection)
  if (newProjection !== undefined) {
    writes.push({
      table: hostsTable,
      key: workerKey(newProjection.pool, newProjection.id),
      value: newProjection,
    })
  }
  return writes
}
