/** Exit statuses of `bulrush`, with the line that help shows. */
export const exitTable = {
  done: { status: 0, meaning: 'done' },
  usage: { status: 1, meaning: 'wrong usage' },
  invalid: { status: 2, meaning: 'the document is invalid' },
  refused: { status: 3, meaning: 'refused by the entry host' },
  unreachable: { status: 4, meaning: 'no entry host answered' },
  partial: { status: 5, meaning: 'done, but not yet in force everywhere' },
} as const

/** A key of {@link exitTable}. */
export type Exit = keyof typeof exitTable

/** The table of exit statuses for help. */
export function exitHelp(): string {
  const lines = Object.values(exitTable).map(({ status, meaning }) => `${status} ${meaning}`)
  return `exit statuses: ${lines.join('; ')}`
}
