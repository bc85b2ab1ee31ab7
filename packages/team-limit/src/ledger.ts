import type { Check, Row, TableService, Write } from '@bulrushbridge/store'

/** Table of the ledger; the key of a row is the team. */
export const ledgerTable = 'permits'

/** Holder id under which the placement duty counts tasks on workers. */
export const tasksHolder = 'tasks'

/** One holder's part of a team's limit. */
export interface LedgerEntry {
  /** Permits at the row's limit. */
  count: number
  incarnation: string
  /** Permits in the holder's own last commit, made at `limit`. */
  held: number
  /** Limit that `held` refers to; at another limit M the holder uses at most held x M / limit. */
  limit: number
  /** Permits that running work and loans occupy; can exceed `held` after the limit was lowered. */
  owed: number
}

/** The ledger row of one team. */
export interface LedgerRow {
  limit: number
  /** Version of the configuration that `limit` was taken from. */
  limitVersion: number
  holders: Record<string, LedgerEntry>
}

/** Returns the id of a holder in the ledger, which differs for each start of an entry host. */
export function holderId(member: string, incarnation: string): string {
  return `${encodeURIComponent(member)}/${encodeURIComponent(incarnation)}`
}

/** Returns the highest number of permits that a holder may use at `limit`. */
export function maxPermitsOf(entry: LedgerEntry, limit: number): number {
  const scaled = entry.limit > 0 ? Math.ceil((entry.held * limit) / entry.limit) : 0
  return Math.max(scaled, entry.owed)
}

/** Returns the number of permits in a row that no holder may use. */
export function countUnallocated(row: LedgerRow): number {
  const maxPermits = Object.values(row.holders).map(entry => maxPermitsOf(entry, row.limit))
  return Math.max(0, row.limit - maxPermits.reduce((sum, permits) => sum + permits, 0))
}

/** Returns the permits that remain after the limit changed; a higher limit changes nothing. */
export function scaleDown(count: number, from: number, to: number): number {
  return to < from ? Math.floor((count * to) / from) : count
}

/**
 * Returns the row with a newer limit. The committed permits of the holders stay, so a holder that
 * does not know of the change still counts with all permits that it may use.
 */
export function withLimit(
  row: LedgerRow | undefined,
  limit: number,
  limitVersion: number,
): LedgerRow {
  const holders = Object.entries(row?.holders ?? {}).map(([id, entry]) => {
    return [id, { ...entry, count: scaleDown(entry.held, entry.limit, limit) }] as const
  })
  return { limit, limitVersion, holders: Object.fromEntries(holders) }
}

/** Returns the row without one holder. */
export function withoutHolder(row: LedgerRow, holder: string): LedgerRow {
  const holders = Object.entries(row.holders).filter(([id]) => id !== holder)
  return { ...row, holders: Object.fromEntries(holders) }
}

/** Returns the check and the write that replace a row if it is unchanged since it was read. */
export function replaceRow(
  team: string,
  read: Row<LedgerRow> | undefined,
  value: LedgerRow,
): { checks: Check[]; writes: Write[] } {
  return {
    checks: [{ table: ledgerTable, key: team, version: read?.version ?? 0 }],
    writes: [{ table: ledgerTable, key: team, value }],
  }
}

/** Reads the ledger row of a team. */
export function readLedger(table: TableService, team: string): Promise<Row<LedgerRow> | undefined> {
  return table.read<LedgerRow>(ledgerTable, team)
}
