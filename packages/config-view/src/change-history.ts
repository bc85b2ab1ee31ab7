import { changeRowSchema, type ChangeRow } from '@bulrushbridge/contract'
import type { ChangeMessage } from './peer-config-calls.js'

/** Rows kept in memory for peers that lag behind; a peer that needs older ones gets a snapshot. */
const maxHistoryRows = 500

/** The most recent change rows that a view has applied. */
export class ChangeHistory {
  #rows: ChangeRow[] = []

  push(row: ChangeRow): void {
    this.#rows.push(row)
    if (this.#rows.length > maxHistoryRows) this.#rows.shift()
  }

  /** Removes all rows; needed when the next row does not directly follow them. */
  clear(): void {
    this.#rows = []
  }

  /** Rows after `version` up to `current`; undefined when the first of them is no longer kept. */
  rowsAfter(version: number, current: number): ChangeRow[] | undefined {
    if (version >= current) return []
    const first = this.#rows[0]
    if (!first || first.version > version + 1) return undefined
    return this.#rows.filter(row => row.version > version)
  }

  last(): ChangeRow | undefined {
    return this.#rows.at(-1)
  }
}

/** Converts a change row to the form that is sent to peers. */
export function toChangeMessage(row: ChangeRow): ChangeMessage {
  return { version: row.version, body: JSON.stringify(row) }
}

/** Parses rows received from peers; malformed ones are ignored. */
export function parseChangeMessages(messages: readonly ChangeMessage[]): ChangeRow[] {
  return messages.flatMap(({ body }) => {
    try {
      return [changeRowSchema.parse(JSON.parse(body))]
    } catch {
      return []
    }
  })
}
