import type { Row, TableService } from './table-service.js'

/** Rows read by one call. */
const pageRows = 500

/**
 * Reads all rows of a range, page by page. Rows that change meanwhile may be of different moments.
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
    const rows = await table.scan<T>(name, { ...range, from, limit: pageRows })
    found.push(...rows)
    const last = rows.at(-1)
    if (rows.length < pageRows || last === undefined) return found
    from = `${last.key}\0`
  }
}
