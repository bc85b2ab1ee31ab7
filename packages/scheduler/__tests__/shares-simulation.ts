import {
  addAmounts,
  chooseStarts,
  createGuaranteedWork,
  createRunTimeEstimator,
  createWeightedShares,
  JobExecution,
  noAmounts,
  progressSchema,
  reservedAmounts,
  type AvailableRunner,
  type GuaranteedWork,
  type JobDefinition,
  type JobQueue,
  type Organisation,
  type PoolShare,
  type QueueUsage,
  type Step,
  type Task,
} from '../src/index.js'
import { createRunner, queue as defaultQueue } from './fixture.js'

/** A job of the simulation; `at` is when it is accepted, in milliseconds. */
export interface SimulatedJob {
  id: string
  organisation: string
  at: number
  steps: Step[]
}

/** Options of {@link simulateShares}. */
export interface SharesSimulationOptions {
  organisations: Pick<Organisation, 'name' | 'weight'>[]
  jobs: readonly SimulatedJob[]
  /** Cores of each runner. */
  runners: readonly number[]
  /** Run time of a task that is the organisation's `startNumber`-th one to start, from 0. */
  runMs: (task: Task, startNumber: number) => number
  queue?: Partial<JobQueue>
  maxStarts?: number
  /** When the simulation ends, in milliseconds. */
  untilMs: number
  /** Time at which a new dispatcher takes over, with what is stored. */
  takeoverAt?: number
  /** Whether jobs are judged by the rate of their organisations; all are guaranteed otherwise. */
  limitsRate?: boolean
}

/** What the simulation observed; times are in milliseconds. */
export interface SharesSimulationResult {
  /** Times of the starts of each organisation, ascending. */
  starts: Map<string, number[]>
  /** When each job with a run first had one. */
  firstRunAt: Map<string, number>
  endedAt: Map<string, number>
  /** Shares before and after the takeover, and which open jobs were excess. */
  takeover: { before: unknown; after: unknown } | undefined
}

/** What a dispatcher keeps in memory. */
interface Memory {
  jobs: Map<string, JobExecution>
  guaranteed: GuaranteedWork
}

/**
 * Simulates one pool in which a pass follows each arrival and each end of a run, without a network.
 *
 * @example
 * const { endedAt } = simulateShares({ organisations, jobs, runners: [16], runMs, untilMs: 10_000 })
 */
export function simulateShares(opts: SharesSimulationOptions): SharesSimulationResult {
  const queue = { ...defaultQueue, ...opts.queue }
  const queues = new Map([[queue.name, queue]])
  const runTimes = createRunTimeEstimator()
  let memory: Memory = { jobs: new Map(), guaranteed: createGuaranteedWork() }
  const runners = opts.runners.map((cores, i) => createSimulatedRunner(`r${i}`, cores))
  const running = new Map<string, { runnerId: string; endsAt: number }>()
  const arrivals = [...opts.jobs].sort((a, b) => a.at - b.at)
  /** Progress rows of ended jobs. */
  const endedRows = new Map<string, unknown>()
  const result: SharesSimulationResult = {
    starts: new Map(),
    firstRunAt: new Map(),
    endedAt: new Map(),
    takeover: undefined,
  }

  function sharesAt(now: number) {
    const steps = [...memory.jobs.values()].flatMap(job => job.startableSteps())
    const shares = createWeightedShares({
      organisations: opts.organisations,
      usage: usageOf(memory.jobs.values()),
      steps,
      queues,
      runners,
      allowance: new Map(),
      isGuaranteed: (job, weight) =>
        opts.limitsRate !== true || memory.guaranteed.isGuaranteed(job, weight, now),
    })
    return { steps, shares }
  }

  function pass(now: number): boolean {
    const { steps, shares } = sharesAt(now)
    const starts = chooseStarts({
      steps,
      queues,
      runners,
      runTimes,
      allowance: new Map(),
      wallNow: now,
      maxStarts: opts.maxStarts ?? 200,
      shares,
    })
    for (const { task, runnerId } of starts) {
      const { job } = task.step
      const { id, organisation = '' } = job.definition
      if (running.has(task.name)) throw new Error(`${task.name} was started while it runs`)
      job.beginRun(task, runnerId, 0)
      job.markBegun()
      const times = result.starts.get(organisation) ?? []
      running.set(task.name, { runnerId, endsAt: now + opts.runMs(task, times.length) })
      times.push(now)
      result.starts.set(organisation, times)
      if (!result.firstRunAt.has(id)) result.firstRunAt.set(id, now)
    }
    return starts.length >= (opts.maxStarts ?? 200)
  }

  function endRuns(now: number): void {
    for (const [name, { runnerId, endsAt }] of running) {
      if (endsAt > now) continue
      running.delete(name)
      const [id = '', occurrence, step, index] = name.split('.')
      const job = memory.jobs.get(id)
      const task = job?.task(Number(occurrence), Number(step), Number(index))
      const runner = runners.find(each => each.id === runnerId)
      if (job === undefined || task === undefined || runner === undefined) continue
      addAmounts(runner.free, reservedAmounts(task.step))
      runner.unconfirmedRuns -= 1
      runner.finiteTasks -= 1
      job.clearRun(task)
      job.markDone(task, task.lastRun, now)
      if (!job.hasEnded) continue
      result.endedAt.set(id, now)
      memory.jobs.delete(id)
      endedRows.set(id, JSON.parse(JSON.stringify(job.encode())))
    }
  }

  function observe(now: number) {
    const { shares } = sharesAt(now)
    const byName = (a: PoolShare, b: PoolShare) => (a.organisation < b.organisation ? -1 : 1)
    const excess = [...memory.jobs.values()].filter(job => shares?.isExcess(job.definition))
    return {
      shares: structuredClone([...(shares?.entries() ?? [])].sort(byName)),
      excess: excess.map(({ definition }) => definition.id).sort(),
    }
  }

  function takeOver(now: number): void {
    const before = observe(now)
    const next: Memory = { jobs: new Map(), guaranteed: createGuaranteedWork() }
    for (const [id, row] of endedRows) {
      const { organisation, acceptedAt } = progressSchema.parse(row)
      if (acceptedAt !== undefined) next.guaranteed.noteAccepted({ id, organisation, acceptedAt })
    }
    // Parts of the store are read in any order.
    for (const job of [...memory.jobs.values()].reverse()) {
      const progress = progressSchema.parse(JSON.parse(JSON.stringify(job.encode())))
      const restored = new JobExecution(structuredClone(job.definition), progress)
      restored.openDueOccurrences(now)
      next.jobs.set(job.definition.id, restored)
      next.guaranteed.noteAccepted(job.definition)
    }
    memory = next
    result.takeover = { before, after: observe(now) }
  }

  let now = 0
  let mayStartMore = false
  while (now <= opts.untilMs) {
    endRuns(now)
    for (let job = arrivals[0]; job !== undefined && job.at <= now; job = arrivals[0]) {
      arrivals.shift()
      const definition = toDefinition(job, queue.name)
      const execution = new JobExecution(definition)
      execution.openDueOccurrences(now)
      memory.jobs.set(job.id, execution)
      memory.guaranteed.noteAccepted(definition)
    }
    if (opts.takeoverAt !== undefined && now >= opts.takeoverAt && result.takeover === undefined)
      takeOver(now)
    mayStartMore = pass(now)
    const next = [...running.values()].map(({ endsAt }) => endsAt)
    if (arrivals[0] !== undefined) next.push(arrivals[0].at)
    if (mayStartMore) next.push(now + 10)
    if (next.length === 0) break
    now = Math.max(
      now + 1,
      next.reduce((a, b) => Math.min(a, b)),
    )
  }
  return result
}

function toDefinition({ id, organisation, at, steps }: SimulatedJob, queue: string): JobDefinition {
  return { id, queue, organisation, payload: '', steps, acceptedAt: at }
}

function createSimulatedRunner(id: string, cores: number): AvailableRunner {
  const capacity = { cpuMillis: cores * 1_000, memoryMb: cores * 1_000, accelerators: 0 }
  return createRunner(id, { capacity, free: { ...capacity }, unconfirmedRuns: -1_000_000 })
}

function usageOf(jobs: Iterable<JobExecution>): QueueUsage[] {
  const usage = new Map<string, QueueUsage>()
  for (const job of jobs) {
    const { organisation = '', queue } = job.definition
    for (const { step } of job.tasksWithRun()) {
      const sum = usage.get(organisation) ?? {
        organisation,
        queue,
        amounts: { ...noAmounts },
        lasting: { ...noAmounts },
      }
      addAmounts(sum.amounts, reservedAmounts(step))
      usage.set(organisation, sum)
    }
  }
  return [...usage.values()]
}
