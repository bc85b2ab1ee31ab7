/** Control characters; a name in a response must not steer the terminal. */

const controlCharacters = /[\u0000-\u001f\u007f-\u009f]/g

/**
 * Aligns rows under a header.
 *
 * @example
 * formatTable(['zone', 'state'], [['a', 'out']])
 */
export function formatTable(header: string[], rows: string[][]): string {
  const all = [header, ...rows].map(row => row.map(cell => cell.replace(controlCharacters, ' ')))
  const widths = header.map((_, i) => Math.max(...all.map(row => row[i]?.length ?? 0)))
  const line = (row: string[]) =>
    row
      .map((cell, i) => cell.padEnd(widths[i] ?? 0))
      .join('  ')
      .trimEnd()
  return all.map(line).join('\n')
}

/** Any value as one table cell. */
export function cell(value: unknown): string {
  if (value === undefined || value === null) return ''
  return typeof value === 'string' ? value : JSON.stringify(value)
}
