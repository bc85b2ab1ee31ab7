import {
  criticalPathMs,
  objectiveLimitFactor,
  publishedEstimateMs,
  type JobQueue,
  type LoadView,
  type Organisation,
  type QueueLoad,
  type Step,
} from '@bulrushbridge/scheduler'

/** Age above which a view rejects nothing, in milliseconds. */
export const maxViewAgeMs = 1_000

/**
 * Age below which a view rejects nothing, in milliseconds: it would be from the future, so the clocks of the
 * dispatcher and this host differ too much to tell its age.
 */
export const minViewAgeMs = -200

/**
 * Most by which the measured drain may exceed the cores of the pool. Declared run times are off by up to 90%,
 * so estimated work may be ten times the real work, and then drains ten times as fast as the cores tell.
 */
const maxDrainFactor = 10

/** Weight of an organisation without one, and of jobs without an organisation. */
const defaultWeight = 1

/** Input of {@link decideAdmission}. */
export interface AdmissionInput {
  /** The newest view of the load; undefined if there is none or it is malformed. */
  view: LoadView | undefined
  /** Age of the view, in milliseconds. */
  ageMs: number
  /** Fencing token of the newest term that a view has shown. */
  newestTerm: number
  queue: JobQueue
  /** Organisation of the caller; empty without one. */
  organisation: string
  organisations: readonly Organisation[]
  /** Steps of the submitted job. */
  steps: readonly Step[]
  /** The job runs at later times, by a schedule. */
  isScheduled: boolean
}

/** Why a job is accepted. */
export type AcceptReason =
  | 'no-view'
  | 'old-view'
  | 'earlier-term'
  | 'no-objective'
  | 'lasting'
  | 'nothing-waits'
  | 'capacity-unknown'
  | 'guaranteed'
  | 'under-share'
  | 'in-time'

/** Numbers behind a rejection, for the log. */
export interface RejectionInputs {
  ageMs: number
  term: number
  /** Expected length of the job's critical path, in milliseconds. */
  pathMs: number
  /** Time within which the job must start to end within its limit, in milliseconds. */
  latestStartMs: number
  /** Share of the organisation in the pool, from 0 to 1. */
  share: number
  /** Waiting work of the organisation that goes before the job, in core-milliseconds. */
  aheadCoreMs: number
  /** Most work that the pool can do for the organisation until `latestStartMs`, in core-milliseconds. */
  possibleCoreMs: number
}

/** Decision whether a job is accepted. */
export type AdmissionDecision =
  | { isRejected: false; reason: AcceptReason }
  | {
      isRejected: true
      /** Time after which a job of the organisation can be accepted again, in milliseconds. */
      waitMs: number
      /** Time that the job's work takes at the organisation's rate, in milliseconds. */
      workMs: number
      inputs: RejectionInputs
    }

interface Work {
  onTime: number
  late: number
}

/**
 * Decides whether a submitted job is rejected, for bursts in which an organisation sends several times what it
 * is guaranteed. A job is rejected only if both hold:
 *
 * - The work of its organisation that can still be on time fills the pool until the job is late. Late work goes
 *   behind work that can be on time, so the job would become late.
 * - All the work of its organisation that can still end within its limit fills the pool until the job can't
 *   end within three times its latency objective.
 *
 * The pool counts with the most cores that it can get, free of everything that runs now. Work of other
 * organisations counts at most up to their shares, so it never causes a rejection while the organisation is
 * under its own. An organisation that runs less than its share, or has fewer jobs accepted a second than its
 * weight guarantees, is never rejected.
 *
 * @example
 * const decision = decideAdmission({ view, ageMs: 120, newestTerm: 7, queue, organisation, ...rest })
 */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const { view, ageMs, newestTerm, queue, organisation } = input
  if (view === undefined) return accept('no-view')
  if (view.term < newestTerm) return accept('earlier-term')
  if (!(ageMs <= maxViewAgeMs && ageMs >= minViewAgeMs)) return accept('old-view')
  if (queue.targetLatencyMs <= 0) return accept('no-objective')
  if (input.isScheduled || input.steps.some(({ isLasting }) => isLasting === true))
    return accept('lasting')
  const load = view.queues.find(({ name }) => name === queue.name)
  if (load === undefined) return accept('nothing-waits')
  const pool = view.pools.find(({ name }) => name === queue.pool)
  const expectedCores = pool?.expectedCores ?? 0
  if (pool === undefined || load.pool !== queue.pool || expectedCores === 0)
    return accept('capacity-unknown')
  const guaranteedPerSecond = statedWeight(input, organisation) ?? 0
  if (amountOf(view.accepted, organisation) < guaranteedPerSecond) return accept('guaranteed')
  const poolQueues = view.queues.filter(each => each.pool === queue.pool)
  const shareOf = createShares(input, poolQueues, pool.running)
  const share = shareOf(organisation)
  if (pool.busyCores === 0 || amountOf(pool.running, organisation) < share * pool.busyCores)
    return accept('under-share')
  const drainCores = poolQueues.reduce((sum, each) => sum + each.drainCores, 0)
  const drainFactor = pool.cores === 0 ? 1 : drainCores / pool.cores
  const rate = expectedCores * Math.min(maxDrainFactor, Math.max(1, drainFactor))
  const work = workByOrganisation(poolQueues.filter(({ priority }) => priority <= queue.priority))
  const own = work.get(organisation) ?? { onTime: 0, late: 0 }
  const possible = (ms: number, sizeOf: (each: Work) => number) =>
    possibleWork(input, { ms, rate, work, shareOf, sizeOf })

  const pathMs = expectedPathMs(input.steps, load)
  const objectiveMs = queue.stretch * pathMs + queue.targetLatencyMs
  // The work was counted when the view was computed, and drains since then.
  const lateAfterMs = objectiveMs - pathMs + Math.max(0, ageMs)
  const latestStartMs = objectiveLimitFactor * objectiveMs - pathMs + Math.max(0, ageMs)
  const possibleOnTime = possible(lateAfterMs, ({ onTime }) => onTime)
  const possibleAll = possible(latestStartMs, ({ onTime, late }) => onTime + late)
  const excessOnTime = own.onTime - possibleOnTime
  const excessAll = own.onTime + own.late - possibleAll
  if (lateAfterMs <= 0 || excessOnTime <= 0 || excessAll <= 0) return accept('in-time')
  const ownRate = possibleAll / latestStartMs
  return {
    isRejected: true,
    waitMs: Math.min(excessOnTime, excessAll) / ownRate,
    workMs: expectedWork(input.steps, load) / ownRate,
    inputs: {
      ageMs: Math.round(ageMs),
      term: view.term,
      pathMs: Math.round(pathMs),
      latestStartMs: Math.round(latestStartMs),
      share: Number(share.toFixed(3)),
      aheadCoreMs: own.onTime + own.late,
      possibleCoreMs: Math.round(possibleAll),
    },
  }
}

/** Waiting work of an organisation that goes before a new job of it in a queue, in core-milliseconds. */
export function workAhead(
  view: LoadView,
  queue: Pick<JobQueue, 'pool' | 'priority'>,
  organisation: string,
): number {
  const queues = view.queues.filter(
    ({ pool, priority }) => pool === queue.pool && priority <= queue.priority,
  )
  const { onTime, late } = workByOrganisation(queues).get(organisation) ?? { onTime: 0, late: 0 }
  return onTime + late
}

function accept(reason: AcceptReason): AdmissionDecision {
  return { isRejected: false, reason }
}

/**
 * Most work that a pool can do for the caller's organisation within a time: all but the work of the others, each
 * up to its share and its limit.
 */
function possibleWork(
  { organisation, organisations }: AdmissionInput,
  opts: {
    ms: number
    /** Cores of the pool. */
    rate: number
    work: ReadonlyMap<string, Work>
    shareOf: (name: string) => number
    sizeOf: (each: Work) => number
  },
): number {
  const { ms, rate, work, shareOf, sizeOf } = opts
  let others = 0
  for (const [name, each] of work) {
    if (name === organisation) continue
    const limitMillis = organisations.find(other => other.name === name)?.limit.cpuMillis ?? 0
    const limitCores = limitMillis > 0 ? limitMillis / 1_000 : Number.POSITIVE_INFINITY
    others += Math.min(sizeOf(each), shareOf(name) * rate * ms, limitCores * ms)
  }
  return rate * ms - others
}

/** The shares by weight of the organisations that have waiting work or runs in a pool. */
function createShares(
  input: AdmissionInput,
  queues: readonly QueueLoad[],
  running: readonly [string, number][],
): (name: string) => number {
  const active = new Set([input.organisation])
  for (const { organisations } of queues) for (const [name] of organisations) active.add(name)
  for (const [name] of running) active.add(name)
  const weightOf = (name: string) => statedWeight(input, name) ?? defaultWeight
  const total = [...active].reduce((sum, name) => sum + weightOf(name), 0)
  return name => weightOf(name) / total
}

function statedWeight({ organisations }: AdmissionInput, name: string): number | undefined {
  const weight = organisations.find(each => each.name === name)?.weight ?? 0
  return weight > 0 ? weight : undefined
}

function workByOrganisation(queues: readonly QueueLoad[]): Map<string, Work> {
  const work = new Map<string, Work>()
  for (const { organisations } of queues) {
    for (const [name, onTime, late] of organisations) {
      const sum = work.get(name) ?? { onTime: 0, late: 0 }
      work.set(name, { onTime: sum.onTime + onTime, late: sum.late + late })
    }
  }
  return work
}

/** The longer of the declared and the expected critical path, as a longer one leaves the job more time. */
function expectedPathMs(steps: readonly Step[], load: QueueLoad): number {
  const expected = criticalPathMs(steps, step => publishedEstimateMs(load, step.estimateMs))
  return Math.max(criticalPathMs(steps), expected)
}

function expectedWork(steps: readonly Step[], load: QueueLoad): number {
  return steps.reduce(
    (sum, { count, amounts, estimateMs }) =>
      sum + (count * amounts.cpuMillis * publishedEstimateMs(load, estimateMs)) / 1_000,
    0,
  )
}

function amountOf(amounts: readonly [string, number][], name: string): number {
  return amounts.find(([each]) => each === name)?.[1] ?? 0
}
