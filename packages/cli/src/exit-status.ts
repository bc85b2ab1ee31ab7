/** Exit statuses of `bulrush`, with the meanings that the help lists. */
export const cliExitStatuses = {
  done: { status: 0, meaning: 'done' },
  usage: { status: 1, meaning: 'wrong usage' },
  invalid: { status: 2, meaning: 'the document is invalid' },
  refused: { status: 3, meaning: 'refused by the entry host' },
  unreachable: { status: 4, meaning: 'no entry host answered' },
  partial: { status: 5, meaning: 'done, but not yet in force everywhere' },
} as const

/** A key of {@link cliExitStatuses}. */
export type ExitKind = keyof typeof cliExitStatuses

/** Line of the help that lists the exit statuses. */
export function exitStatusHelp(): string {
  const lines = Object.values(cliExitStatuses).map(({ status, meaning }) => `${status} ${meaning}`)
  return `exit statuses: ${lines.join('; ')}`
}
