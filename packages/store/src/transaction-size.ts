import type { Transaction, Write } from './table-service.js'

/** Bytes of an entry of a transaction beside its value: the names of its table, part and key. */
const entryOverheadBytes = 250

/** Most bytes of a transaction, which are below the 1 MB that the store takes. */
export const maxTransactionBytes = 900_000

/** Most entries of a transaction, which are below the 100 that the store takes. */
export const maxTransactionEntries = 96

/**
 * Returns the most bytes that a write takes in a call to the store.
 *
 * @example
 * const bytes = tx.writes.reduce((sum, write) => sum + writeBytes(write), 0)
 */
export function writeBytes({ value }: Write): number {
  if (value === null) return entryOverheadBytes
  return Math.ceil((Buffer.byteLength(JSON.stringify(value)) * 4) / 3) + entryOverheadBytes
}

/** Returns the most bytes that a transaction takes in a call to the store. */
export function transactionBytes({ checks, writes }: Transaction): number {
  return writes.reduce((sum, write) => sum + writeBytes(write), checks.length * entryOverheadBytes)
}
