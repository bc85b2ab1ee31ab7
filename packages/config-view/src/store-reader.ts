import { changeRowSchema, emptyConfiguration, type ChangeRow } from '@bulrushbridge/contract'
import type { Configuration } from '@bulrushbridge/contract'
import type { CallOptions, ObjectStore, TableService } from '@bulrushbridge/store'
import {
  changeKey,
  parseSnapshot,
  snapshotName,
  toHeadRow,
  type Head,
  type HeadRow,
} from './head.js'
import { snapshotInterval } from './timing.js'

/** Rows read in one call. */
const scanLimit = 500

/** Snapshots tried before all changes are read; a commit's snapshot may have failed. */
const snapshotsTried = 3

/** Reads the configuration from the platform's storage. */
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

  /** Rows after `after` up to `to`, inclusive. */
  async changes(after: number, to: number, opts: CallOptions): Promise<ChangeRow[]> {
    const rows: ChangeRow[] = []
    for (let next = after + 1; next <= to;) {
      const page = await this.#table.scan('changes', {
        from: changeKey(next),
        to: changeKey(to + 1),
        limit: scanLimit,
        ...opts,
      })
      rows.push(...page.map(row => changeRowSchema.parse(row.value)))
      if (page.length === 0) break
      next = (rows.at(-1)?.version ?? next) + 1
    }
    return rows
  }

  /** The newest snapshot at or before `version`; empty when there is none. */
  async snapshot(version: number, opts: CallOptions): Promise<Configuration> {
    const newest = version - (version % snapshotInterval)
    for (let i = 0; i < snapshotsTried; i++) {
      const at = newest - i * snapshotInterval
      if (at <= 0) break
      const cfg = parseSnapshot(
        await this.#objects.get(snapshotName(at), opts).catch(() => undefined),
      )
      if (cfg) return cfg
    }
    return emptyConfiguration()
  }
}
