import type { Decision, DecisionRecord } from './record.js'

/** A decision that waits to be written; `at` is wall-clock milliseconds. */
export interface PendingDecision {
  decision: Decision
  at: number
}

/** Most ids kept in a row that stands for several subjects. */
export const maxJoinedIds = 100

/** A row that stands for one or more decisions. */
type JoinedRow = Omit<DecisionRecord, 'member'>

/**
 * Joins decisions into at most `maxRows` rows, oldest first; `rest` has those that do not fit.
 * Decisions about one subject are always joined. Decisions about several subjects are joined only
 * when there would be more than `maxRows` rows otherwise.
 *
 * @example
 * const { rows, rest } = joinRecords(pending, 10)
 */
export function joinRecords(
  pending: PendingDecision[],
  maxRows: number,
): { rows: JoinedRow[]; rest: PendingDecision[] } {
  let groups = groupBy(pending, ({ decision: { subject, rule, action } }) =>
    JSON.stringify([rule, subject.kind, action, subject.id]),
  )
  if (groups.length > maxRows) {
    groups = groupBy(pending, ({ decision: { subject, rule, action } }) =>
      JSON.stringify([rule, subject.kind, action]),
    )
  }
  return {
    rows: groups.slice(0, maxRows).flatMap(joinGroup),
    rest: groups.slice(maxRows).flat(),
  }
}

function groupBy(
  pending: PendingDecision[],
  keyOf: (item: PendingDecision) => string,
): PendingDecision[][] {
  const groups = new Map<string, PendingDecision[]>()
  for (const item of pending) {
    const key = keyOf(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return [...groups.values()]
}

function joinGroup(group: PendingDecision[]): JoinedRow[] {
  const first = group[0]
  const last = group.at(-1)
  if (first === undefined || last === undefined) return []
  const ids = [...new Set(group.map(item => item.decision.subject.id))]
  const row: JoinedRow = {
    ...last.decision,
    firstAt: new Date(first.at).toISOString(),
    lastAt: new Date(last.at).toISOString(),
    count: group.length,
  }
  return [ids.length > 1 ? { ...row, ids: ids.slice(0, maxJoinedIds) } : row]
}
