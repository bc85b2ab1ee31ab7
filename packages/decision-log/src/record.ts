/** What a decision was about, such as `{ kind: 'team', id: 'lamps' }`. */
export interface Subject {
  kind: string
  id: string
}

/** One decision: what was observed, which rule applied, what followed. */
export interface Decision {
  subject: Subject
  /** A rule's name, such as `team-limit`. */
  rule: string
  observed: Record<string, unknown>
  action: string
}

/** A stored decision, or several alike that were joined. */
export interface DecisionRecord extends Decision {
  member: string
  /** Wall clock of the first and the last decision, ISO 8601. */
  firstAt: string
  lastAt: string
  /** How many decisions the record stands for. */
  count: number
  /** The ids of the subjects when decisions on several subjects were joined; bounded. */
  ids?: string[]
  /** Decisions of this member that were dropped before this record. */
  dropped?: number
}
