/**
 * Length of the spans at whose start the bucket of an organisation is full again, in milliseconds. With
 * it, a new dispatcher needs only the jobs accepted in one span to judge each of them as the one before
 * did.
 */
const spanMs = 30_000

/**
 * Time after its acceptance from which a job counts as guaranteed, in milliseconds. It bounds the wait
 * of excess jobs, and the time for which acceptances are kept.
 */
export const maxExcessMs = 120_000

/** What is needed of a job to judge it; a {@link JobDefinition} has all of it. */
export interface AcceptedJob {
  id: string
  organisation?: string | undefined
  /** Unix milliseconds. */
  acceptedAt: number
}

/** Which jobs of each organisation are within the rate that it is guaranteed. */
export interface GuaranteedWork {
  /** Notes the acceptance of a job, in any order. Jobs that have ended count too. */
  noteAccepted(job: AcceptedJob): void
  /**
   * Whether a job is within `weight` jobs a second of its organisation. Jobs of organisations without
   * a weight are not, and jobs accepted long ago always are.
   */
  isGuaranteed(job: AcceptedJob, weight: number, wallNow: number): boolean
  /** Forgets acceptances that no longer matter. */
  prune(wallNow: number): void
}

interface Acceptance {
  id: string
  at: number
  /** Tokens left in the bucket after the job. */
  tokens: number
  isExcess: boolean
}

/** The acceptances of one organisation in one span. */
interface Span {
  readonly byId: Map<string, Acceptance>
  /** By time, and by id at the same time. */
  readonly sorted: Acceptance[]
  /** The weight for which the acceptances before `judgedCount` are judged. */
  weight: number
  judgedCount: number
}

/**
 * Creates an empty record of acceptances. An organisation that sends several times its usual load would
 * otherwise take the capacity that others are guaranteed. A token bucket over the times of acceptance,
 * which holds the tokens of one second but at least one, judges each job once and for all: the result
 * depends neither on the order in which jobs become known nor on when they run.
 *
 * @example
 * const guaranteed = createGuaranteedWork()
 * guaranteed.noteAccepted(job.definition)
 * const isExcess = !guaranteed.isGuaranteed(job.definition, weight, Date.now())
 */
export function createGuaranteedWork(): GuaranteedWork {
  const organisations = new Map<string, Map<number, Span>>()
  return {
    noteAccepted: ({ id, organisation = '', acceptedAt }) => {
      const spans = organisations.get(organisation) ?? new Map<number, Span>()
      organisations.set(organisation, spans)
      const number = Math.floor(acceptedAt / spanMs)
      const span = spans.get(number) ?? { byId: new Map(), sorted: [], weight: 0, judgedCount: 0 }
      spans.set(number, span)
      if (!span.byId.has(id)) insert(span, { id, at: acceptedAt, tokens: 0, isExcess: false })
    },
    isGuaranteed: ({ id, organisation = '', acceptedAt }, weight, wallNow) => {
      if (wallNow - acceptedAt >= maxExcessMs) return true
      if (weight <= 0) return false
      const span = organisations.get(organisation)?.get(Math.floor(acceptedAt / spanMs))
      const acceptance = span?.byId.get(id)
      if (span === undefined || acceptance === undefined) return true
      judge(span, weight)
      return !acceptance.isExcess
    },
    prune: wallNow => {
      for (const [organisation, spans] of organisations) {
        for (const number of spans.keys())
          if ((number + 1) * spanMs + maxExcessMs <= wallNow) spans.delete(number)
        if (spans.size === 0) organisations.delete(organisation)
      }
    },
  }
}

/** Adds an acceptance. Most are the latest, as hosts' clocks differ little. */
function insert(span: Span, added: Acceptance): void {
  let index = span.sorted.length
  for (
    let earlier = span.sorted[index - 1];
    earlier !== undefined;
    earlier = span.sorted[index - 1]
  ) {
    if (earlier.at < added.at || (earlier.at === added.at && earlier.id < added.id)) break
    index -= 1
  }
  span.sorted.splice(index, 0, added)
  span.byId.set(added.id, added)
  span.judgedCount = Math.min(span.judgedCount, index)
}

/** Judges the acceptances that have not been judged for this weight. */
function judge(span: Span, weight: number): void {
  if (span.weight !== weight) span.judgedCount = 0
  span.weight = weight
  const depth = Math.max(1, weight)
  for (; span.judgedCount < span.sorted.length; span.judgedCount++) {
    const acceptance = span.sorted[span.judgedCount]
    const previous = span.sorted[span.judgedCount - 1]
    if (acceptance === undefined) return
    const gained = previous === undefined ? 0 : ((acceptance.at - previous.at) * weight) / 1_000
    const tokens = Math.min(depth, (previous?.tokens ?? depth) + gained)
    acceptance.isExcess = tokens < 1
    acceptance.tokens = acceptance.isExcess ? tokens : tokens - 1
  }
}
