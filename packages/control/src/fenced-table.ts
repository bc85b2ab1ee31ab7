import {
  hasFenceCheckFailed,
  StoreError,
  type HeldLease,
  type TableService,
} from '@bulrushbridge/store'

/**
 * Creates a table service that adds the check of a duty's fence to each transaction, for code that
 * does not know of duties. When the duty was lost, the commit is rejected: reported as a conflict
 * with another transaction, it would be repeated by such code. `close` leaves `table` open.
 *
 * @throws StoreError from `commit` when the duty is not held or was taken over.
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
      if (check === undefined) throw new StoreError('commit rejected: the duty lease is not held')
      const result = await table.commit({ ...tx, checks: [...tx.checks, check] }, opts)
      if (hasFenceCheckFailed(result, check))
        throw new StoreError('commit rejected: the duty lease was taken over')
      return result
    },
    close: () => Promise.resolve(),
  }
}
