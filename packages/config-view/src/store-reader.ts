import { changeRowSchema, emptyConfiguration, type ChangeRow } from '@bulrushbridge/contract'
import type { EnvironmentConfiguration } from '@bulrushbridge/contract'
import type { CallOptions, ObjectStore, TableService } from '@bulrushbridge/store'
import {
  changeKey,
  parseSnapshot,
  snapshotName,
  toHeadRow,
  type Head,
  type HeadRow,
} from './head.js'
import { snapshotIntervalVersions } from './timing.js'

/** Most rows read in one scan. */
const rowsPerScan = 500

/** Snapshots tried before all changes are read instead; the write of a snapshot may have failed. */
const maxSnapshotAttempts = 3

/** Reads the configuration from the table service and the object store. */
export class StoreReader {
  readonly #table: TableService
  readonly #objects: ObjectStore

  constructor(table: TableService, objects: ObjectStore) {
    this.#table = table
    this.#objects = objects
  }

  async head(opts: CallOptions): Promise<HeadRow> {
    return toHeadRow(await this.#table.read<Head>('config', 'head', opts))
  }

  /** Change rows with versions above `after` and up to `to`, inclusive. */
  async changes(after: number, to: number, opts: CallOptions): Promise<ChangeRow[]> {
    const rows: ChangeRow[] = []
    for (let next = after + 1; next <= to;) {
      const page = await this.#table.scan('changes', {
        from: changeKey(next),
        to: changeKey(to + 1),
        limit: rowsPerScan,
        ...opts,
      })
      rows.push(...page.map(row => changeRowSchema.parse(row.value)))
      if (page.length === 0) break
      next = (rows.at(-1)?.version ?? next) + 1
    }
    return rows
  }

  /** The newest readable snapshot at or before `version`; an empty configuration without one. */
  async snapshot(version: number, opts: CallOptions): Promise<EnvironmentConfiguration> {
    const newest = version - (version % snapshotIntervalVersions)
    for (let i = 0; i < maxSnapshotAttempts; i++) {
      const at = newest - i * snapshotIntervalVersions
      if (at <= 0) break
      const cfg = parseSnapshot(
        await this.#objects.get(snapshotName(at), opts).catch(() => undefined),
      )
      if (cfg) return cfg
    }
    return emptyConfiguration()
  }
}
