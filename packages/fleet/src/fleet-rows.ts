import {
  hasFenceCheckFailed,
  scanAll,
  type Check,
  type HeldLease,
  type Row,
  type TableService,
  type Write,
} from '@bulrushbridge/store'
import {
  fleetHostsTable,
  fleetZonesTable,
  computeProjectionWrites,
  type FleetHostRow,
  type FleetZoneRow,
} from './rows.js'

/** A write was refused because this process no longer holds the lease of the fleet duty. */
export class FleetDutyLostError extends Error {
  override readonly name = 'FleetDutyLostError'
}

/** A write was refused because the row changed since it was read. The next round reads it again. */
export class FleetRowChangedError extends Error {
  override readonly name = 'FleetRowChangedError'
}

/** Options of {@link FleetRows}. */
export interface FleetRowsOptions {
  table: TableService
  /** Returns the lease of the duty `fleet`, or undefined if this process does not hold it. */
  held: () => HeldLease | undefined
}

/**
 * Reads and writes the rows of the fleet's hosts and zones. Each write is one transaction that
 * checks the fence of the duty's lease and the version of the row.
 */
export class FleetRows {
  readonly #opts: FleetRowsOptions
  #hosts = new Map<string, Row<FleetHostRow>>()
  #zones = new Map<string, Row<FleetZoneRow>>()

  constructor(opts: FleetRowsOptions) {
    this.#opts = opts
  }

  /**
   * Reads all rows. Each round starts with it, because a write whose result was lost may have taken
   * effect.
   *
   * @throws StoreError when the rows cannot be read.
   */
  async load(): Promise<void> {
    const { table } = this.#opts
    const [hosts, zones] = await Promise.all([
      scanAll<FleetHostRow>(table, fleetHostsTable),
      scanAll<FleetZoneRow>(table, fleetZonesTable),
    ])
    this.#hosts = new Map(hosts.map(row => [row.key, row]))
    this.#zones = new Map(zones.map(row => [row.key, row]))
  }

  /** Rows of all hosts as of the last read or write. */
  hosts(): FleetHostRow[] {
    return [...this.#hosts.values()].map(({ value }) => value)
  }

  /** Row of a host; undefined if it has none. */
  findHost(id: string): FleetHostRow | undefined {
    return this.#hosts.get(id)?.value
  }

  /** Rows of the zones that are out or returning, by zone. */
  zones(): ReadonlyMap<string, FleetZoneRow> {
    return new Map([...this.#zones].map(([zone, { value }]) => [zone, value]))
  }

  /**
   * Writes a host's row and its projection in one transaction; `undefined` removes both.
   *
   * @throws FleetDutyLostError when the lease of the duty is no longer held.
   * @throws FleetRowChangedError when the row changed since it was read.
   * @throws StoreError when the result of the write is unknown or the store is unavailable.
   */
  async writeHost(id: string, next: FleetHostRow | undefined): Promise<void> {
    const row = this.#hosts.get(id)
    const writes = computeProjectionWrites(row?.value, next)
    await this.#write(this.#hosts, fleetHostsTable, id, next, writes)
  }

  /** Writes or removes the row of a zone; throws like {@link FleetRows.writeHost}. */
  async writeZone(zone: string, next: FleetZoneRow | undefined): Promise<void> {
    await this.#write(this.#zones, fleetZonesTable, zone, next, [])
  }

  async #write<T>(
    rows: Map<string, Row<T>>,
    table: string,
    key: string,
    next: T | undefined,
    projectionWrites: Write[],
  ): Promise<void> {
    const version = rows.get(key)?.version ?? 0
    const write = { table, key, value: next ?? null }
    await this.#commit({ table, key, version }, [write, ...projectionWrites])
    if (next === undefined) rows.delete(key)
    else rows.set(key, { key, version: version + 1, value: next })
  }

  async #commit(check: Check, writes: Write[]): Promise<void> {
    const fence = this.#opts.held()?.check
    if (fence === undefined) throw new FleetDutyLostError('the lease of the fleet duty is not held')
    const result = await this.#opts.table.commit({ checks: [fence, check], writes })
    if (result.committed) return
    if (hasFenceCheckFailed(result, fence))
      throw new FleetDutyLostError('another process has taken over the lease of the fleet duty')
    throw new FleetRowChangedError(`row ${check.table}/${check.key} changed since it was read`)
  }
}
