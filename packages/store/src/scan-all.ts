import type { Row, TableService } from './table-service.js'

/** Number of rows read by one call. */
const rowsPerPage = 500

/**
 * Reads all rows of a key range, page by page. The result is no snapshot, because rows may change
 * between two pages.
 *
 * @example
 * const tasks = await scanAll<TaskRow>(table, 'tasks', { from: 'batch/', to: 'batch0' })
 */
export async function scanAll<T>(
  table: TableService,
  name: string,
  range: { from?: string; to?: string } = {},
): Promise<Row<T>[]> {
  const found: Row<T>[] = []
  let { from = '' } = range
  for (;;) {
    const rows = await table.scan<T>(name, { ...range, from, limit: rowsPerPage })
    found.push(...rows)
    const last = rows.at(-1)
    if (rows.length < rowsPerPage || last === undefined) return found
    from = `${last.key}\0`
  }
}
