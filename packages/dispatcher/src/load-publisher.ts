import { normalizeError } from '@bulrushbridge/errors'
import {
  boundLoadView,
  loadKey,
  loadTable,
  sumQueueLoads,
  type AvailableRunner,
  type JobExecution,
  type JobQueue,
  type LoadView,
  type Machine,
  type MachineApi,
  type OperatorView,
  type RunTimeSource,
  type StepExecution,
  type TaskStart,
} from '@bulrushbridge/scheduler'
import type { Check, TableService } from '@bulrushbridge/store'
import type { Logger, Metrics } from '@bulrushbridge/telemetry'
import { sumPoolCores, type CountedSession } from './pool-cores.js'
import { createRunningMeans } from './running-means.js'

/** Least time between two publications while work waits, in milliseconds. */
const publishIntervalMs = 250

/**
 * Least time between two publications, as a multiple of the time that the last view took to compute, so that
 * a large backlog takes at most a tenth of the dispatcher's event loop.
 */
const computeTimeFactor = 10

/** Timeout of a publication, in milliseconds; hosts ignore a view that is older than 1 s. */
const commitTimeoutMs = 800

/** Age above which the list of machines counts as not known, in milliseconds; rounds take up to 2.5 s. */
const maxMachineListAgeMs = 3_000

/** Time constant of the rate at which waiting work starts, in milliseconds; a run takes about 1 s. */
const drainTimeConstantMs = 2_000

/** Time over which accepted jobs are counted, in milliseconds. */
const acceptedWindowMs = 2_000

/** Least time between two log lines about failed publications, in milliseconds. */
const logIntervalMs = 2_000

/** Options of {@link createLoadPublisher}. */
export interface LoadPublisherOptions {
  store: TableService
  /** Check of the dispatcher's lease, which every write includes. */
  leaseCheck: Check
  /** Fencing token of the term. */
  fence: number
  view: OperatorView
  sessions: ReadonlyMap<string, CountedSession>
  /** Jobs in memory, by id. */
  jobs: ReadonlyMap<string, JobExecution>
  runTimes: RunTimeSource
  /** Whether the platform has a machine service. */
  hasMachines: boolean
  /** Number of entry hosts, as far as it is known. */
  hostCount: () => number
  log: Logger
  metrics: Metrics
  /** Milliseconds of a clock that never goes back; `performance.now` by default. */
  now?: () => number
  /** Unix milliseconds; `Date.now` by default. */
  wallNow?: () => number
}

/** What a placement pass has done, and what it left waiting. */
export interface PassResult {
  /** Startable steps, after the starts of the pass have been recorded. */
  steps: readonly StepExecution[]
  starts: readonly TaskStart[]
  queues: ReadonlyMap<string, JobQueue>
  /** Runners that take new runs. */
  runners: readonly AvailableRunner[]
}

/** Publishes the load of all queues, by which entry hosts reject jobs that cannot end in time. */
export interface LoadPublisher {
  /** Publishes the load if it is due. Called after each placement pass, so several times a second. */
  notePass(pass: PassResult): void
  /** Notes the platform's list of machines. */
  noteMachines(machines: readonly Machine[]): void
  /** Resolves when the publication in progress is over. */
  close(): Promise<void>
}

/**
 * Creates the publisher of a term. It stores one row at most every 250 ms while work waits, one more when
 * nothing waits any more, and none after that.
 *
 * @example
 * const publisher = createLoadPublisher({ store, leaseCheck, fence, view, sessions, jobs, runTimes, ...rest })
 * publisher.notePass({ steps, starts, queues, runners })
 */
export function createLoadPublisher(opts: LoadPublisherOptions): LoadPublisher {
  return new RowLoadPublisher(opts)
}

/**
 * Returns the same machine service, and passes on each list that it returns.
 *
 * @example
 * const machines = withListObserver(opts.machines, list => publisher.noteMachines(list))
 */
export function withListObserver(
  machines: MachineApi<Machine>,
  onList: (list: readonly Machine[]) => void,
): MachineApi<Machine> {
  return {
    list: async () => {
      const result = await machines.list()
      if (result.outcome === 'done') onList(result.value)
      return result
    },
    move: order => machines.move(order),
    upkeep: order => machines.upkeep(order),
    close: () => machines.close(),
  }
}

class RowLoadPublisher implements LoadPublisher {
  readonly #opts: LoadPublisherOptions
  readonly #now: () => number
  readonly #wallNow: () => number
  readonly #startedAt: number
  readonly #drain = new Map<string, { cores: number; at: number }>()
  readonly #runningMeans = createRunningMeans()
  readonly #countedPastLimit = new WeakSet<JobExecution>()
  #machines: { list: readonly Machine[]; at: number } | undefined
  /** Time of the store when it answered the last publication, and when the answer arrived. */
  #storeClock: { timeMs: number; at: number } | undefined
  #number = 0
  #dueAt = 0
  /** The stored row shows that nothing waits. False at first, as the row may be of an earlier term. */
  #isEmptyStored = false
  #publication: Promise<void> | undefined
  #lastLoggedAt = -logIntervalMs

  constructor(opts: LoadPublisherOptions) {
    this.#opts = opts
    this.#now = opts.now ?? performance.now.bind(performance)
    this.#wallNow = opts.wallNow ?? Date.now
    this.#startedAt = this.#wallNow()
  }

  notePass(pass: PassResult): void {
    const now = this.#now()
    this.#noteStarts(pass.starts, now)
    if (this.#publication !== undefined || now < this.#dueAt) return
    const isWaiting = pass.steps.some(({ pendingCount }) => pendingCount > 0)
    if (!isWaiting && this.#isEmptyStored) return
    const view = this.#computeView(pass, now)
    const computeMs = this.#now() - now
    this.#dueAt = now + Math.max(publishIntervalMs, computeTimeFactor * computeMs)
    this.#opts.metrics.observe('bulrush_load_view_compute_ms', {}, computeMs)
    const isEmpty = view.queues.length === 0
    if (isEmpty && this.#isEmptyStored) return
    this.#publication = this.#publish(view, isEmpty).finally(() => {
      this.#publication = undefined
    })
  }

  noteMachines(machines: readonly Machine[]): void {
    this.#machines = { list: machines, at: this.#now() }
  }

  async close(): Promise<void> {
    await this.#publication
  }

  async #publish(view: LoadView, isEmpty: boolean): Promise<void> {
    const { store, leaseCheck, metrics } = this.#opts
    this.#isEmptyStored = false
    const write = { table: loadTable, key: loadKey, value: view }
    try {
      const deadline = performance.now() + commitTimeoutMs
      const result = await store.commit({ checks: [leaseCheck], writes: [write] }, { deadline })
      if (result.committed) {
        this.#isEmptyStored = isEmpty
        const { serviceTimeMs } = result
        if (serviceTimeMs !== undefined)
          this.#storeClock = { timeMs: serviceTimeMs, at: this.#now() }
      } else this.#logFailure('the lease check failed')
      metrics.count('bulrush_load_views_total', { result: result.committed ? 'stored' : 'fenced' })
    } catch (err) {
      metrics.count('bulrush_load_views_total', { result: 'failed' })
      this.#logFailure(normalizeError(err).message)
    }
  }

  #logFailure(reason: string): void {
    const now = this.#now()
    if (now - this.#lastLoggedAt < logIntervalMs) return
    this.#lastLoggedAt = now
    this.#opts.log.warn('load of queues not stored', { fence: this.#opts.fence, reason })
  }

  #computeView({ steps, queues, runners }: PassResult, now: number): LoadView {
    const { jobs, runTimes, fence, hostCount, sessions } = this.#opts
    const wallNow = this.#wallNow()
    const capacities = new Map<string, AvailableRunner['capacity'][]>()
    for (const { pool, capacity } of runners) {
      const known = capacities.get(pool)
      if (known === undefined) capacities.set(pool, [capacity])
      else known.push(capacity)
    }
    const waitingJobs = new Set(steps.flatMap(step => (step.pendingCount > 0 ? [step.job] : [])))
    const drainCores = new Map(
      [...this.#drain].map(([queue, rate]) => [queue, decayedRate(rate, now)]),
    )
    const input = { jobs: waitingJobs, queues, capacities, runTimes, drainCores, wallNow }
    const { queues: loads, pastLimit } = sumQueueLoads(input)
    this.#countPastLimit(pastLimit)
    this.#number += 1
    const cfg = this.#opts.view.configuration()
    const pools = sumPoolCores({
      sessions: sessions.values(),
      availableRunners: new Set(runners.map(({ id }) => id)),
      machines: this.#knownMachines(now),
      sparePools: new Set(cfg?.pools.flatMap(({ name, isSpare }) => (isSpare ? [name] : []))),
    })
    return boundLoadView({
      format: 1,
      term: fence,
      number: this.#number,
      at: wallNow,
      storeAt: this.#storeTimeMs(now),
      hosts: Math.max(1, hostCount()),
      queues: loads,
      pools: this.#runningMeans.apply(pools, now),
      accepted: countAccepted(jobs.values(), wallNow),
    })
  }

  /** The answer took some time to arrive, so the time of the store is at least this. */
  #storeTimeMs(now: number): number | null {
    const clock = this.#storeClock
    return clock === undefined ? null : clock.timeMs + now - clock.at
  }

  #knownMachines(now: number): readonly Machine[] | 'none' | undefined {
    if (!this.#opts.hasMachines) return 'none'
    const known = this.#machines
    return known === undefined || now - known.at > maxMachineListAgeMs ? undefined : known.list
  }

  #noteStarts(starts: readonly TaskStart[], now: number): void {
    for (const { task } of starts) {
      const { definition, job } = task.step
      if (definition.isLasting === true || definition.isFiller === true) continue
      const { queue } = job.definition
      const runMs = this.#opts.runTimes.estimateMs(queue, definition.estimateMs)
      const rate = this.#drain.get(queue)
      const cores = rate === undefined ? 0 : decayedRate(rate, now)
      const startedCores = (definition.amounts.cpuMillis * runMs) / 1_000 / drainTimeConstantMs
      this.#drain.set(queue, { cores: cores + startedCores, at: now })
    }
  }

  /**
   * Counts the accepted jobs that still wait when their limit has passed: they were accepted although they
   * could not be served. A limit that passed before the term is left to the earlier dispatcher.
   */
  #countPastLimit(pastLimit: readonly { job: JobExecution; limitAt: number }[]): void {
    for (const { job, limitAt } of pastLimit) {
      if (this.#countedPastLimit.has(job) || limitAt < this.#startedAt) continue
      this.#countedPastLimit.add(job)
      const { queue } = job.definition
      this.#opts.metrics.count('bulrush_jobs_accepted_too_late_total', { queue })
    }
  }
}

/** Jobs accepted a second by organisation; of those in memory, so ended ones may be missing. */
/** Greatest difference between the clocks of two hosts that is taken as usual, in milliseconds. */
const maxClockErrorMs = 500

function countAccepted(jobs: Iterable<JobExecution>, wallNow: number): [string, number][] {
  const counts = new Map<string, number>()
  for (const { definition } of jobs) {
    const { acceptedAt, organisation = '' } = definition
    // The clock of the accepting host may be ahead; a rate that is too high would cost others their due.
    if (acceptedAt <= wallNow - acceptedWindowMs || acceptedAt > wallNow + maxClockErrorMs) continue
    counts.set(organisation, (counts.get(organisation) ?? 0) + 1)
  }
  return [...counts].map(([name, count]) => [name, (count * 1_000) / acceptedWindowMs])
}

function decayedRate({ cores, at }: { cores: number; at: number }, now: number): number {
  return cores * Math.exp((at - now) / drainTimeConstantMs)
}
