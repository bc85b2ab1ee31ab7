import type { Decision, DecisionRecord } from './record.js'

/** A decision that waits to be written; `at` is wall-clock milliseconds. */
export interface Pending {
  decision: Decision
  at: number
}

/** Ids kept in a row that stands for several subjects. */
export const maxIds = 100

type Row = Omit<DecisionRecord, 'member'>

/**
 * Joins decisions into at most `maxRows` rows, oldest first; those that do not fit are the rest.
 * Decisions on one subject are joined always, those on several subjects only when rows are short.
 *
 * @example
 * const { rows, rest } = joinRecords(pending, 10)
 */
export function joinRecords(pending: Pending[], maxRows: number): { rows: Row[]; rest: Pending[] } {
  let groups = groupBy(pending, ({ decision: { subject, rule, action } }) =>
    JSON.stringify([rule, subject.kind, action, subject.id]),
  )
  if (groups.length > maxRows) {
    groups = groupBy(pending, ({ decision: { subject, rule, action } }) =>
      JSON.stringify([rule, subject.kind, action]),
    )
  }
  return {
    rows: groups.slice(0, maxRows).flatMap(join),
    rest: groups.slice(maxRows).flat(),
  }
}

function groupBy(pending: Pending[], nameOf: (item: Pending) => string): Pending[][] {
  const groups = new Map<string, Pending[]>()
  for (const item of pending) {
    const name = nameOf(item)
    const group = groups.get(name)
    if (group === undefined) groups.set(name, [item])
    else group.push(item)
  }
  return [...groups.values()]
}

function join(group: Pending[]): Row[] {
  const first = group[0]
  const last = group.at(-1)
  if (first === undefined || last === undefined) return []
  const ids = [...new Set(group.map(item => item.decision.subject.id))]
  const row: Row = {
    ...last.decision,
    firstAt: new Date(first.at).toISOString(),
    lastAt: new Date(last.at).toISOString(),
    count: group.length,
  }
  return [ids.length > 1 ? { ...row, ids: ids.slice(0, maxIds) } : row]
}
