import { changeRowSchema, type ChangeRow } from '@bulrushbridge/contract'
import type { ChangeMessage } from './peer-config.js'

/** Rows kept in memory for peers that lag behind; older ones are replaced by a snapshot. */
const keptRows = 500

/** The most recent change rows that a view has applied. */
export class ChangeHistory {
  #rows: ChangeRow[] = []

  push(row: ChangeRow): void {
    this.#rows.push(row)
    if (this.#rows.length > keptRows) this.#rows.shift()
  }

  /** Forgets all rows, because the next one does not follow them. */
  clear(): void {
    this.#rows = []
  }

  /** Rows after `version`, or undefined when the first of them is no longer kept. */
  after(version: number, current: number): ChangeRow[] | undefined {
    if (version >= current) return []
    const first = this.#rows[0]
    if (!first || first.version > version + 1) return undefined
    return this.#rows.filter(row => row.version > version)
  }

  last(): ChangeRow | undefined {
    return this.#rows.at(-1)
  }
}

/** A change row as it is sent to peers. */
export function toChangeMessage(row: ChangeRow): ChangeMessage {
  return { version: row.version, body: JSON.stringify(row) }
}

/** Parses rows from peers; malformed ones are left out. */
export function fromChangeMessages(messages: readonly ChangeMessage[]): ChangeRow[] {
  return messages.flatMap(({ body }) => {
    try {
      return [changeRowSchema.parse(JSON.parse(body))]
    } catch {
      return []
    }
  })
}
