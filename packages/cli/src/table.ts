/** Replaced in cells, so that a response cannot send control sequences to the terminal. */
const controlCharacters = /[\u0000-\u001f\u007f-\u009f]/g

/**
 * Aligns rows under a header.
 *
 * @example
 * formatTable(['zone', 'state'], [['a', 'out']])
 */
export function formatTable(header: string[], rows: string[][]): string {
  const allRows = [header, ...rows].map(row =>
    row.map(cell => cell.replace(controlCharacters, ' ')),
  )
  const widths = header.map((_, i) => Math.max(...allRows.map(row => row[i]?.length ?? 0)))
  const formatRow = (row: string[]) =>
    row
      .map((cell, i) => cell.padEnd(widths[i] ?? 0))
      .join('  ')
      .trimEnd()
  return allRows.map(formatRow).join('\n')
}

/** Formats any value as a table cell; undefined and null become empty. */
export function formatCell(value: unknown): string {
  if (value === undefined || value === null) return ''
  return typeof value === 'string' ? value : JSON.stringify(value)
}
