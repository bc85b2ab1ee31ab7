import { z } from 'zod'
import { countFitting, type Amounts } from './amounts.js'
import type { JobQueue } from './configuration.js'
import type { JobExecution, Occurrence, StepExecution } from './job-execution.js'
import { criticalPathMs } from './job.js'
import type { RunTimeSource } from './run-time-estimator.js'

/** Table and key of the row with the load of all queues; the dispatcher writes it. */
export const loadTable = 'load'
export const loadKey = 'queues'

/** Version of the format of the row; rows of another version are ignored. */
const formatVersion = 1

/**
 * A job that ends after this multiple of its latency objective counts for nothing, so a job that can't end
 * within it is rejected.
 */
export const objectiveLimitFactor = 3

/** Declared run times, in milliseconds, whose estimates are published for each queue. */
const probedRunTimesMs = [100, 10_000] as const

/** Most queues, and most organisations of a queue or a pool, that the row has. */
const maxQueues = 48
const maxOrganisations = 32

/** Most organisations whose rate of accepted jobs the row has. */
const maxAcceptedOrganisations = 64

/**
 * Most bytes of the row as JSON. The store takes 65,536 bytes in base64, and each of up to 300 hosts reads
 * the row about twice a second while jobs wait.
 */
export const maxLoadBytes = 24_000

const amountSchema = z.number().min(0).max(Number.MAX_SAFE_INTEGER)

/** Name of an organisation and an amount; the name is empty for jobs without an organisation. */
const namedAmountSchema = z.tuple([z.string(), amountSchema])

const poolSchema = z.object({
  name: z.string(),
  /** Cores of the runners that take new runs now, without those that lasting tasks reserve. */
  cores: amountSchema,
  /**
   * Most cores that the pool can get: all its machines that are not down, those on their way, spare ones and
   * idle ones of other pools. Null while the dispatcher does not know the machines.
   */
  expectedCores: amountSchema.nullable(),
  /** Cores that runs of finite tasks reserve, as a mean over the last seconds. */
  busyCores: amountSchema,
  /** The same by organisation. */
  running: z.array(namedAmountSchema),
})

const queueSchema = z.object({
  name: z.string(),
  pool: z.string(),
  priority: z.number(),
  /** Work, in core-milliseconds, of waiting tasks of jobs that can still be on time. */
  onTimeCoreMs: amountSchema,
  /** The same of jobs that are late and can still end within {@link objectiveLimitFactor} objectives. */
  lateCoreMs: amountSchema,
  /** Rate at which waiting work starts, in core-milliseconds per millisecond. */
  drainCores: amountSchema,
  /** Expected run times of tasks whose declared ones are {@link probedRunTimesMs}. */
  runTimesMs: z.tuple([amountSchema, amountSchema]),
  /** Waiting work by organisation: name, work that can be on time, late work. */
  organisations: z.array(z.tuple([z.string(), amountSchema, amountSchema])),
})

/** Schema of the row with the load of all queues. */
export const loadViewSchema = z.object({
  format: z.literal(formatVersion),
  /** Fencing token of the dispatcher's term. */
  term: z.int().min(0),
  /** Number of the view in its term; a view with a lower one is outdated. */
  number: z.int().min(0),
  /** When the dispatcher computed the view, in Unix milliseconds of its clock. */
  at: z.number(),
  /** The same on the clock of the store, at the earliest; null while it is not known. */
  storeAt: z.number().nullable(),
  /** Number of entry hosts that accept jobs, as far as it is known. */
  hosts: z.int().min(1),
  pools: z.array(poolSchema),
  /** The queues for whose tasks there was no room. */
  queues: z.array(queueSchema),
  /** Jobs accepted a second by organisation. */
  accepted: z.array(namedAmountSchema),
})

/** Load of all queues with waiting work, as the dispatcher publishes it. */
export type LoadView = z.infer<typeof loadViewSchema>
/** Cores of one pool in a {@link LoadView}. */
export type PoolCores = z.infer<typeof poolSchema>
/** Waiting work of one queue in a {@link LoadView}. */
export type QueueLoad = z.infer<typeof queueSchema>

/** Input of {@link sumQueueLoads}. */
export interface QueueLoadInput {
  /** Jobs that may have waiting tasks. */
  jobs: Iterable<JobExecution>
  queues: ReadonlyMap<string, JobQueue>
  /** Capacities of the runners of each pool. */
  capacities: ReadonlyMap<string, readonly Amounts[]>
  runTimes: RunTimeSource
  /** Rate at which waiting work of each queue starts, in cores. */
  drainCores: ReadonlyMap<string, number>
  /** Unix milliseconds. */
  wallNow: number
}

/** Result of {@link sumQueueLoads}. */
export interface QueueLoads {
  queues: QueueLoad[]
  /** Jobs with waiting tasks whose limit of {@link objectiveLimitFactor} objectives has passed. */
  pastLimit: { job: JobExecution; limitAt: number }[]
}

/**
 * Sums the waiting work of each queue, for the burst in which an organisation sends several times what its
 * pool can do. Only work that certainly takes processor time before a later job of its organisation counts:
 * tasks that other conditions than free processor time keep from starting are left out (gangs, fillers,
 * needed labels, limits per runner, advice, tasks larger than each runner), and jobs that can't end in time
 * any more.
 *
 * @example
 * const { queues } = sumQueueLoads({ jobs, queues, capacities, runTimes, drainCores, wallNow })
 */
export function sumQueueLoads(input: QueueLoadInput): QueueLoads {
  const sums = new Map<string, Map<string, { onTime: number; late: number }>>()
  const pastLimit: QueueLoads['pastLimit'] = []
  const largest = largestCapacities(input.capacities)
  for (const job of input.jobs) {
    const { queue: queueName, organisation = '' } = job.definition
    const queue = input.queues.get(queueName)
    if (queue === undefined || queue.advice !== undefined || job.hasEnded) continue
    const stepMs = (estimateMs: number) => input.runTimes.estimateMs(queueName, estimateMs)
    const wholeMs = criticalPathMs(job.definition.steps, step => stepMs(step.estimateMs))
    const objectiveMs = queue.stretch * wholeMs + queue.targetLatencyMs
    for (const occurrence of job.openOccurrences.values()) {
      const work = waitingCoreMs(occurrence, largest.get(queue.pool) ?? [], stepMs)
      if (work <= 0) continue
      const dueAt =
        occurrence.startableFrom === 0 ? job.definition.acceptedAt : occurrence.startableFrom
      const limitAt = dueAt + objectiveLimitFactor * objectiveMs
      if (input.wallNow > limitAt) pastLimit.push({ job, limitAt })
      const endsAt = input.wallNow + remainingPathMs(job, occurrence, stepMs)
      if (endsAt > limitAt) continue
      const byOrganisation =
        sums.get(queueName) ?? new Map<string, { onTime: number; late: number }>()
      sums.set(queueName, byOrganisation)
      const sum = byOrganisation.get(organisation) ?? { onTime: 0, late: 0 }
      byOrganisation.set(organisation, sum)
      if (endsAt <= dueAt + objectiveMs) sum.onTime += work
      else sum.late += work
    }
  }
  const queues = [...sums].flatMap(([name, byOrganisation]) => {
    const queue = input.queues.get(name)
    return queue === undefined ? [] : [toQueueLoad(queue, byOrganisation, input)]
  })
  return { queues, pastLimit }
}

/**
 * Returns a view that takes at most {@link maxLoadBytes} as JSON. The queues and organisations with the least
 * waiting work are left out; hosts reject nothing because of what a view lacks.
 *
 * @example
 * const write = { table: loadTable, key: loadKey, value: boundLoadView(view) }
 */
export function boundLoadView(view: LoadView): LoadView {
  const workOf = ({ onTimeCoreMs, lateCoreMs }: QueueLoad) => onTimeCoreMs + lateCoreMs
  const queues = [...view.queues].sort((a, b) => workOf(b) - workOf(a)).slice(0, maxQueues)
  for (let count = queues.length; ; count = Math.floor(count / 2)) {
    const kept = queues.slice(0, count)
    const pools = new Set(kept.map(({ pool }) => pool))
    const bounded: LoadView = {
      ...view,
      queues: kept.map(queue => ({
        ...queue,
        organisations: [...queue.organisations]
          .sort((a, b) => b[1] + b[2] - a[1] - a[2])
          .slice(0, maxOrganisations),
      })),
      pools: view.pools
        .filter(({ name }) => pools.has(name))
        .map(pool => ({ ...pool, running: largestAmounts(pool.running, maxOrganisations) })),
      accepted: count === 0 ? [] : largestAmounts(view.accepted, maxAcceptedOrganisations),
    }
    if (count === 0 || Buffer.byteLength(JSON.stringify(bounded)) <= maxLoadBytes) return bounded
  }
}

/** Decodes the row with the load of all queues; undefined when it is malformed or of another format. */
export function decodeLoadView(value: unknown): LoadView | undefined {
  const parsed = loadViewSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}

/**
 * Returns the expected run time of a task by the published estimates of its queue, in milliseconds. Between
 * the two published points, and beyond them, the logarithm of the estimate is linear in that of the declared
 * run time, as in `RunTimeSource`.
 */
export function publishedEstimateMs({ runTimesMs }: QueueLoad, declaredMs: number): number {
  const [low, high] = runTimesMs.map(ms => Math.log(Math.max(1, ms))) as [number, number]
  const [lowDeclared, highDeclared] = probedRunTimesMs.map(Math.log) as [number, number]
  const slope = (high - low) / (highDeclared - lowDeclared)
  return Math.exp(low + slope * (Math.log(Math.max(1, declaredMs)) - lowDeclared))
}

function toQueueLoad(
  { name, pool, priority }: JobQueue,
  byOrganisation: ReadonlyMap<string, { onTime: number; late: number }>,
  { runTimes, drainCores }: QueueLoadInput,
): QueueLoad {
  const organisations = [...byOrganisation].map(
    ([organisation, { onTime, late }]): [string, number, number] => [
      organisation,
      Math.round(onTime),
      Math.round(late),
    ],
  )
  const [low, high] = probedRunTimesMs
  return {
    name,
    pool,
    priority,
    onTimeCoreMs: organisations.reduce((sum, [, onTime]) => sum + onTime, 0),
    lateCoreMs: organisations.reduce((sum, [, , late]) => sum + late, 0),
    drainCores: roundTenth(drainCores.get(name) ?? 0),
    runTimesMs: [
      roundTenth(runTimes.estimateMs(name, low)),
      roundTenth(runTimes.estimateMs(name, high)),
    ],
    organisations,
  }
}

/** Work of the waiting tasks of an occurrence that only lack free processor time, in core-milliseconds. */
function waitingCoreMs(
  { steps }: Occurrence,
  capacities: readonly Amounts[],
  stepMs: (estimateMs: number) => number,
): number {
  let sum = 0
  for (const step of steps) {
    const { amounts, estimateMs } = step.definition
    if (step.pendingCount === 0 || !waitsForProcessors(step)) continue
    if (!capacities.some(capacity => countFitting(capacity, amounts) > 0)) continue
    sum += (step.pendingCount * amounts.cpuMillis * stepMs(estimateMs)) / 1_000
  }
  return sum
}

function waitsForProcessors({ definition }: StepExecution): boolean {
  const { isLasting, isFiller, isGang, needs, maxPerRunner } = definition
  const isSpecial = isLasting === true || isFiller === true || isGang === true
  return !isSpecial && needs === undefined && maxPerRunner === undefined
}

function remainingPathMs(
  job: JobExecution,
  { steps }: Occurrence,
  stepMs: (estimateMs: number) => number,
): number {
  return criticalPathMs(job.definition.steps, (step, number) => {
    const execution = steps[number]
    const isDone = execution !== undefined && execution.doneCount === execution.tasks.length
    return isDone ? 0 : stepMs(step.estimateMs)
  })
}

/** The distinct capacities of the runners of each pool, which has few kinds of machines. */
function largestCapacities(
  capacities: ReadonlyMap<string, readonly Amounts[]>,
): Map<string, Amounts[]> {
  return new Map(
    [...capacities].map(([pool, all]) => {
      const distinct = new Map(all.map(each => [Object.values(each).join(' '), each]))
      return [pool, [...distinct.values()]]
    }),
  )
}

function largestAmounts(amounts: readonly [string, number][], count: number): [string, number][] {
  return [...amounts].sort((a, b) => b[1] - a[1]).slice(0, count)
}

function roundTenth(value: number): number {
  return Math.round(value * 10) / 10
}
