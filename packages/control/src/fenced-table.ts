import {
  hasFenceCheckFailed,
  StoreError,
  type HeldLease,
  type TableService,
} from '@bulrushbridge/store'

/**
 * A table service whose transactions all check the duty's fence, for code that does not know of
 * duties. A transaction of a lost duty is rejected instead of reported as a lost race, which such
 * code would repeat.
 *
 * @example
 * const view = createConfigView({ ...opts, table: createFencedTable(table, () => duty.held()) })
 */
export function createFencedTable(
  table: TableService,
  held: () => HeldLease | undefined,
): TableService {
  return {
    read: (name, key, opts) => table.read(name, key, opts),
    scan: (name, opts) => table.scan(name, opts),
    commit: async (tx, opts) => {
      const check = held()?.check
      if (check === undefined) throw new StoreError('the duty is not held')
      const result = await table.commit({ ...tx, checks: [...tx.checks, check] }, opts)
      if (hasFenceCheckFailed(result, check)) throw new StoreError('the duty was taken over')
      return result
    },
    close: () => Promise.resolve(),
  }
}
