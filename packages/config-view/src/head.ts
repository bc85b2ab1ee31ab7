import type { EnvironmentConfiguration } from '@bulrushbridge/contract'
import type { Row } from '@bulrushbridge/store'

/** Value of the row `config/head`, which names the newest committed version. */
export interface Head {
  version: number
  /** Digest of the promoted document. */
  digest: string
  /** Version at which the document was promoted. */
  documentVersion: number
  /** The last membership change and the voter ids before it, checked by the next such change. */
  membership: { version: number; previous: string[] }
}

/** The head before the first commit. */
export const initialHead: Head = {
  version: 0,
  digest: '',
  documentVersion: 0,
  membership: { version: 0, previous: [] },
}

/** The head, and the version of its row for the check of a transaction. */
export interface HeadRow {
  head: Head
  rowVersion: number
}

/** Converts the row read from the table; a missing row means that nothing was committed yet. */
export function toHeadRow(row: Row<Head> | undefined): HeadRow {
  return row ? { head: row.value, rowVersion: row.version } : { head: initialHead, rowVersion: 0 }
}

/** Key of a change row, padded to twelve digits so that rows sort by version. */
export function changeKey(version: number): string {
  return String(version).padStart(12, '0')
}

/** Name of the snapshot at a version. */
export function snapshotName(version: number): string {
  return `snapshots/${changeKey(version)}`
}

/** Parses a snapshot; undefined when the text is not one. */
export function parseSnapshot(text: string | undefined): EnvironmentConfiguration | undefined {
  if (text === undefined) return undefined
  try {
    const cfg = JSON.parse(text) as EnvironmentConfiguration
    return Number.isInteger(cfg.version) ? cfg : undefined
  } catch {
    return undefined
  }
}
