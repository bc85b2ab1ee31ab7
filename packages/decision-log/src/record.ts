/** What a decision was about, such as `{ kind: 'team', id: 'lamps' }`. */
export interface Subject {
  kind: string
  id: string
}

/** One decision: what was observed, which rule applied and which action followed. */
export interface Decision {
  subject: Subject
  /** Name of the rule, such as `team-limit`. */
  rule: string
  observed: Record<string, unknown>
  action: string
}

/** A stored decision, or several decisions of the same rule and action that were joined. */
export interface DecisionRecord extends Decision {
  member: string
  /** Wall-clock time of the first decision, in ISO 8601. */
  firstAt: string
  /** Wall-clock time of the last decision, in ISO 8601. */
  lastAt: string
  /** Number of decisions that the record stands for. */
  count: number
  /** Ids of the subjects if decisions about several were joined; at most 100 are kept. */
  ids?: string[]
  /** Number of decisions that this member dropped before this record. */
  dropped?: number
}
