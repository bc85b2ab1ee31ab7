import type { Check, Row, TableService, Write } from '@bulrushbridge/store'

/** Table of the ledger; the key of a row is the team. */
export const ledgerTable = 'permits'

/** Holder under which the placement duty counts tasks on workers. */
export const tasksHolder = 'tasks'

/** What one holder has of a team's limit. */
export interface LedgerEntry {
  /** Permits at the row's limit. */
  count: number
  incarnation: string
  /** Permits that the holder itself committed last, at `limit`. */
  held: number
  /** Limit that `held` refers to: at another limit M the holder uses at most held x M / limit. */
  limit: number
  /** Permits bound by running work or loans beyond `held`, after the limit was lowered. */
  owed: number
}

/** The ledger row of one team. */
export interface LedgerRow {
  limit: number
  /** Version of the configuration that `limit` was taken from. */
  limitVersion: number
  holders: Record<string, LedgerEntry>
}

/** Name of a holder in the ledger: it differs for each start of an entry host. */
export function holderId(member: string, incarnation: string): string {
  return `${encodeURIComponent(member)}/${encodeURIComponent(incarnation)}`
}

/** Permits that an entry may come to use at `limit`. */
export function chargeOf(entry: LedgerEntry, limit: number): number {
  const scaled = entry.limit > 0 ? Math.ceil((entry.held * limit) / entry.limit) : 0
  return Math.max(scaled, entry.owed)
}

/** Permits of a row that no holder has a claim to. */
export function unallocated(row: LedgerRow): number {
  const charges = Object.values(row.holders).map(entry => chargeOf(entry, row.limit))
  return Math.max(0, row.limit - charges.reduce((sum, charge) => sum + charge, 0))
}

/** Permits left after the limit changed from one value to another. */
export function scaleDown(count: number, from: number, to: number): number {
  return to < from ? Math.floor((count * to) / from) : count
}

/**
 * The row at a newer limit. Holders keep what they committed, so a holder that has not seen the
 * change stays charged for all that it may use.
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

/** The row without one holder. */
export function withoutHolder(row: LedgerRow, holder: string): LedgerRow {
  const holders = Object.entries(row.holders).filter(([id]) => id !== holder)
  return { ...row, holders: Object.fromEntries(holders) }
}

/** Check and write that replace a row which was read. */
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
