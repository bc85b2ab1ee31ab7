import type { Configuration } from '@bulrushbridge/contract'
import type { Row } from '@bulrushbridge/store'

/** The row `config/head`. */
export interface Head {
  version: number
  /** Digest of the promoted document. */
  digest: string
  /** Version at which the document was promoted. */
  documentVersion: number
  /** The last membership change and the votes before it, for the settle rule. */
  membership: { version: number; previous: string[] }
}

/** The head before anything was committed. */
export const noHead: Head = {
  version: 0,
  digest: '',
  documentVersion: 0,
  membership: { version: 0, previous: [] },
}

/** The head's value, and the version of its row for a transaction's check. */
export interface HeadRow {
  head: Head
  rowVersion: number
}

/** Interprets the row read from the table. */
export function toHeadRow(row: Row<Head> | undefined): HeadRow {
  return row ? { head: row.value, rowVersion: row.version } : { head: noHead, rowVersion: 0 }
}

/** Key of a change row; twelve digits keep key order equal to version order. */
export function changeKey(version: number): string {
  return String(version).padStart(12, '0')
}

/** Name of the snapshot at a version. */
export function snapshotName(version: number): string {
  return `snapshots/${changeKey(version)}`
}

/** Parses a snapshot; undefined when the text is not one. */
export function parseSnapshot(text: string | undefined): Configuration | undefined {
  if (text === undefined) return undefined
  try {
    const cfg = JSON.parse(text) as Configuration
    return Number.isInteger(cfg.version) ? cfg : undefined
  } catch {
    return undefined
  }
}
