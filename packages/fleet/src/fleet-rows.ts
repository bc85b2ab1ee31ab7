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
  projectionWrites,
  type FleetHostRow,
  type FleetZoneRow,
} from './rows.js'

/** The duty's lease has ended; its former holder changes nothing. */
export class FleetDutyLostError extends Error {
  override readonly name = 'FleetDutyLostError'
}

/** A row has another version than the one read; the next round reads the rows again. */
export class FleetRowChangedError extends Error {
  override readonly name = 'FleetRowChangedError'
}

/** Options of {@link FleetRows}. */
export interface FleetRowsOptions {
  table: TableService
  held: () => HeldLease | undefined
}

/** The rows of the fleet. Each write is one transaction with the duty's fence and the row's version. */
export class FleetRows {
  readonly #opts: FleetRowsOptions
  #hosts = new Map<string, Row<FleetHostRow>>()
  #zones = new Map<string, Row<FleetZoneRow>>()

  constructor(opts: FleetRowsOptions) {
    this.#opts = opts
  }

  /** Reads all rows. A round starts with it, because a write without an answer may have taken effect. */
  async load(): Promise<void> {
    const { table } = this.#opts
    const [hosts, zones] = await Promise.all([
      scanAll<FleetHostRow>(table, fleetHostsTable),
      scanAll<FleetZoneRow>(table, fleetZonesTable),
    ])
    this.#hosts = new Map(hosts.map(row => [row.key, row]))
    this.#zones = new Map(zones.map(row => [row.key, row]))
  }

  hosts(): FleetHostRow[] {
    return [...this.#hosts.values()].map(({ value }) => value)
  }

  host(id: string): FleetHostRow | undefined {
    return this.#hosts.get(id)?.value
  }

  zones(): ReadonlyMap<string, FleetZoneRow> {
    return new Map([...this.#zones].map(([zone, { value }]) => [zone, value]))
  }

  /** Writes a host's row and its projection together; `undefined` removes both. */
  async writeHost(id: string, next: FleetHostRow | undefined): Promise<void> {
    const row = this.#hosts.get(id)
    const writes = projectionWrites(row?.value, next)
    await this.#write(this.#hosts, fleetHostsTable, id, next, writes)
  }

  async writeZone(zone: string, next: FleetZoneRow | undefined): Promise<void> {
    await this.#write(this.#zones, fleetZonesTable, zone, next, [])
  }

  async #write<T>(
    rows: Map<string, Row<T>>,
    table: string,
    key: string,
    next: T | undefined,
    others: Write[],
  ): Promise<void> {
    const version = rows.get(key)?.version ?? 0
    const write = { table, key, value: next ?? null }
    await this.#commit({ table, key, version }, [write, ...others])
    if (next === undefined) rows.delete(key)
    else rows.set(key, { key, version: version + 1, value: next })
  }

  async #commit(check: Check, writes: Write[]): Promise<void> {
    const fence = this.#opts.held()?.check
    if (fence === undefined) throw new FleetDutyLostError('the fleet duty is not held')
    const result = await this.#opts.table.commit({ checks: [fence, check], writes })
    if (result.committed) return
    if (hasFenceCheckFailed(result, fence))
      throw new FleetDutyLostError('the fleet duty was taken over')
    throw new FleetRowChangedError(`the row ${check.table}/${check.key} has changed`)
  }
}
