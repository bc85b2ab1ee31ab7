import type { Clock } from '@bulrushbridge/errors'
import { hostsTable, poolKeyRange, type WorkerRow, type ResourceAmounts } from '@bulrushbridge/host'
import { exceedsEveryWorker, type QueuedJob } from '@bulrushbridge/jobs'
import type { HeldLease, TableService } from '@bulrushbridge/store'
import type { TaskPermits, TaskDemandWriter } from '@bulrushbridge/team-limit'
import { sumResources } from './work-resources.js'
import { createWorkerFailureTracker, type WorkerFailureTracker } from './worker-failure-tracker.js'
import { choosePlacements, type JobPlacement } from './choose-placements.js'
import { LearnedStateRow } from './learned-state-row.js'
import { createLearnedSizes } from './learned-sizes.js'
import { PoolSummaryRow } from './pool-summary-row.js'
import { QueuedJobs } from './queued-jobs.js'
import { Reclaimer } from './reclaimer.js'
import { TaskStore } from './task-store.js'
import { TaskStarter, taskLeaseMs } from './task-starter.js'
import { TeamsAtLimit } from './teams-at-limit.js'
import { estimateWaits } from './estimate-waits.js'
import { WorkerClients, startWindowMs } from './worker-clients.js'
import type { TrackedTask } from './tracked-task.js'
import { markWithdrawnWorkers } from './worker-losses.js'
import { WorkerReconciler, type PlacementDecision } from './worker-reconciler.js'

/** Maximum number of tasks that one choice of placements starts. */
const maxStartsPerChoice = 100

/** Interval between reads of the workers' rows, in milliseconds. */
const workersReadIntervalMs = 2_000

/** Maximum number of choices in one round; after the first, only when a team reached its limit. */
const maxPasses = 3

/** The part of the configuration that placement needs. `queues` are the job queues of the pool. */
export interface PlacementConfiguration {
  queues: readonly string[]
  shares: ReadonlyMap<string, number>
  zonesOut: ReadonlySet<string>
}

/** Options of {@link createPlacementDuty}. */
export interface PlacementDutyOptions {
  table: TableService
  permits: TaskPermits
  /** Stores how many permits the tasks of the pool need; entry hosts give up idle ones for them. */
  taskDemand: TaskDemandWriter
  pool: string
  clock: Clock
  /** Wall clock in milliseconds, for stored times that the next holder of the duty reads. */
  wallClock?: () => number
  /** The lease of the duty `placement/<pool>`; undefined while this process does not hold it. */
  held: () => HeldLease | undefined
  configuration: () => PlacementConfiguration
  /** Time until which the configuration is confirmed as current; no task starts after it. */
  confirmedUntil: () => number
  /** Workers that are leaving by the host list, and workers that it no longer contains. */
  listed(): { leaving: ReadonlySet<string>; unlisted: ReadonlySet<string> }
  onDecision?(decision: PlacementDecision): void
  onError?(err: unknown): void
}

/** Places the jobs of one pool while one lease of the duty lasts. */
export interface PlacementDuty {
  /** Runs one round: reads the rows, reconciles tasks with their workers, starts queued jobs. */
  round(): Promise<void>
  close(): Promise<void>
}

/**
 * Creates the placement of one pool's jobs for the duration of one lease. State that must outlive
 * the lease is stored, so that the next holder of the duty continues from it.
 *
 * @example
 * const placement = createPlacementDuty({ table, permits, pool: 'batch', clock, held, ...rest })
 * await placement.round()
 */
export function createPlacementDuty(opts: PlacementDutyOptions): PlacementDuty {
  return new PoolPlacement(opts)
}

class PoolPlacement implements PlacementDuty {
  readonly #opts: PlacementDutyOptions
  readonly #taskStore: TaskStore
  readonly #clients: WorkerClients
  readonly #reconciler: WorkerReconciler
  readonly #starter: TaskStarter
  readonly #reclaimer: Reclaimer
  readonly #teamsAtLimit: TeamsAtLimit
  readonly #sizes = createLearnedSizes()
  readonly #failureTracker: WorkerFailureTracker
  readonly #learnedStateRow: LearnedStateRow
  readonly #poolSummaryRow: PoolSummaryRow
  readonly #queuedJobs: QueuedJobs
  readonly #tasks = new Map<string, TrackedTask>()
  #workers: WorkerRow[] = []
  #workersReadAt = -Infinity
  #hasLoadedTasks = false

  constructor(opts: PlacementDutyOptions) {
    this.#opts = opts
    this.#taskStore = new TaskStore(opts)
    const { wallClock = Date.now } = opts
    this.#failureTracker = createWorkerFailureTracker({ wallClock })
    this.#learnedStateRow = new LearnedStateRow({
      ...opts,
      taskStore: this.#taskStore,
      sizes: this.#sizes,
      failureTracker: this.#failureTracker,
    })
    this.#poolSummaryRow = new PoolSummaryRow({ ...opts, wallClock, taskStore: this.#taskStore })
    this.#queuedJobs = new QueuedJobs({
      ...opts,
      taskStore: this.#taskStore,
      sizes: this.#sizes,
      poolSummaryRow: this.#poolSummaryRow,
    })
    this.#teamsAtLimit = new TeamsAtLimit(opts.clock, this.#tasks)
    this.#clients = new WorkerClients(opts.clock)
    this.#reconciler = new WorkerReconciler({
      ...opts,
      taskStore: this.#taskStore,
      clients: this.#clients,
      tasks: this.#tasks,
      sizes: this.#sizes,
      failureTracker: this.#failureTracker,
      poolSize: () => this.#workers.length,
    })
    this.#starter = new TaskStarter({
      ...opts,
      taskStore: this.#taskStore,
      clients: this.#clients,
      tasks: this.#tasks,
      reconciler: this.#reconciler,
    })
    this.#reclaimer = new Reclaimer({
      ...opts,
      tasks: this.#tasks,
      reconciler: this.#reconciler,
      sizes: this.#sizes,
      onTeamAtLimit: team => {
        this.#teamsAtLimit.add(team)
      },
    })
  }

  async round(): Promise<void> {
    if (this.#opts.held() === undefined) return
    try {
      await this.#readWorkers()
      await this.#learnedStateRow.load()
      await this.#poolSummaryRow.load()
      if (!this.#hasLoadedTasks) await this.#loadTasks()
      markWithdrawnWorkers(this.#tasks.values(), {
        ...this.#opts.listed(),
        workers: this.#workers,
        zonesOut: this.#opts.configuration().zonesOut,
      })
      await this.#reconciler.reconcile(await this.#readCancellingJobs())
      await this.#startQueued()
      await this.#learnedStateRow.save()
    } catch (err) {
      // A transaction may have taken effect without an answer, so the tasks are read again.
      this.#hasLoadedTasks = false
      throw err
    }
  }

  async close(): Promise<void> {
    await this.#clients.close()
  }

  async #readWorkers(): Promise<void> {
    const now = this.#opts.clock.now()
    if (now - this.#workersReadAt < workersReadIntervalMs) return
    const rows = await this.#opts.table.scan<WorkerRow>(hostsTable, poolKeyRange(this.#opts.pool))
    this.#workers = rows.map(row => row.value)
    this.#poolSummaryRow.registerWorkers(this.#workers)
    if (rows.length > 0)
      this.#failureTracker.retainWorkers(new Set(this.#workers.map(({ id }) => id)))
    this.#workersReadAt = now
  }

  /**
   * Reads the stored tasks. The former holder may have renewed leases just before, so unknown tasks
   * get the longest possible lease.
   */
  async #loadTasks(): Promise<void> {
    const rows = await this.#taskStore.loadTasks()
    const ids = new Set(rows.map(row => row.taskId))
    for (const id of this.#tasks.keys()) if (!ids.has(id)) this.#tasks.delete(id)
    const now = this.#opts.clock.now()
    const leaseEndsAt = now + taskLeaseMs
    // A start call may still arrive; the clock of its worker was read before the claim.
    const startLeaseEndsAt = now + startWindowMs + taskLeaseMs
    for (const row of rows) {
      const trackedTask = this.#tasks.get(row.taskId)
      if (trackedTask === undefined) {
        const taskLeaseEndsAt = row.state === 'starting' ? startLeaseEndsAt : leaseEndsAt
        this.#tasks.set(row.taskId, { row, leaseEndsAt: taskLeaseEndsAt, canBeRunning: true })
      } else {
        // A transaction with a lost answer recorded that it runs; its lease began before that.
        if (trackedTask.row.state === 'starting' && row.state === 'running') {
          trackedTask.leaseEndsAt = Math.max(trackedTask.leaseEndsAt, leaseEndsAt)
        }
        trackedTask.row = row
      }
    }
    this.#hasLoadedTasks = true
  }

  #readCancellingJobs(): Promise<Set<string>> {
    // Without tasks there is nothing to stop, so cancelled jobs are not read.
    return this.#queuedJobs.readCancellingIds(
      this.#tasks.size === 0 ? [] : this.#opts.configuration().queues,
    )
  }

  async #startQueued(): Promise<void> {
    const { configuration, clock, confirmedUntil } = this.#opts
    if (clock.now() >= confirmedUntil()) return
    const { queues, shares } = configuration()
    const jobs = await this.#queuedJobs.readRunnable(queues)
    await this.#requestPermits(jobs)
    const closedWorkers = this.#closedWorkers()
    let teamsAtLimit = this.#teamsAtLimit.teams()
    let unplacedJobs = jobs.filter(({ team }) => !teamsAtLimit.has(team))
    // Capacity that a team at its limit could not use is offered to other teams.
    for (let pass = 0; pass < maxPasses && unplacedJobs.length > 0; pass++) {
      const started = await this.#startPlacements(unplacedJobs, closedWorkers)
      teamsAtLimit = this.#teamsAtLimit.teams()
      const hasTeamAtLimit = unplacedJobs.some(({ team }) => teamsAtLimit.has(team))
      unplacedJobs = unplacedJobs.filter(
        ({ id, team }) => !started.has(id) && !teamsAtLimit.has(team),
      )
      if (!hasTeamAtLimit) break
    }
    const { zonesOut } = configuration()
    const workers = this.#workers.filter(
      ({ id, zone }) =>
        !zonesOut.has(zone) && !closedWorkers.has(id) && !this.#failureTracker.isQuarantined(id),
    )
    await this.#saveSummary(jobs, workers)
    const ordered = unplacedJobs.sort((a, b) => Number(b.urgent) - Number(a.urgent))
    await this.#reclaimer.run({ jobs: ordered, workers, shares, sizeOf: this.#sizeOf })
  }

  /** Estimates the waits of the queued jobs and writes the summary of the pool. */
  async #saveSummary(jobs: readonly QueuedJob[], workers: readonly WorkerRow[]): Promise<void> {
    const rows = [...this.#tasks.values()].map(({ row }) => row)
    const started = new Set(rows.map(({ jobId }) => jobId))
    const waits = estimateWaits({
      jobs: jobs.filter(({ id }) => !started.has(id)),
      runningTeams: rows.map(({ team }) => team),
      shares: this.#opts.configuration().shares,
      capacity: sumResources(workers),
      sizeOf: this.#sizeOf,
      runMsOf: kind => this.#sizes.meanRunMs(kind),
    })
    await this.#poolSummaryRow.save(waits)
  }

  /** Starts the jobs that fit on workers; returns the ids of the jobs that were claimed. */
  async #startPlacements(
    jobs: readonly QueuedJob[],
    closedWorkers: ReadonlySet<string>,
  ): Promise<Set<string>> {
    const { shares, zonesOut } = this.#opts.configuration()
    const placements = choosePlacements({
      jobs,
      workers: this.#workers,
      tasks: [...this.#tasks.values()].map(({ row }) => row),
      zonesOut,
      closedWorkers,
      trialWorkers: new Set(this.#failureTracker.trialWorkers()),
      shares,
      reservedWorkers: this.#reclaimer.reservedWorkers(),
      sizeOf: this.#sizeOf,
      limit: maxStartsPerChoice,
    })
    const placementsByTeam = new Map<string, JobPlacement[]>()
    for (const placement of placements) {
      const { team } = placement.job
      placementsByTeam.set(team, [...(placementsByTeam.get(team) ?? []), placement])
    }
    const started = new Set<string>()
    for (const [team, chosen] of placementsByTeam) {
      const claimed = await this.#starter.start(team, chosen)
      for (const { jobId } of claimed) started.add(jobId)
      if (claimed.length < chosen.length) this.#teamsAtLimit.add(team)
    }
    return started
  }

  #closedWorkers(): Set<string> {
    const { leaving, unlisted } = this.#opts.listed()
    const onTrial = new Set(this.#failureTracker.trialWorkers())
    const paused = this.#failureTracker.quarantinedWorkers().filter(id => !onTrial.has(id))
    return new Set([...leaving, ...unlisted, ...paused, ...this.#reconciler.unreachableWorkers()])
  }

  /**
   * Size to reserve for a job; the declared one if the learned size with its margin fits nowhere.
   */
  readonly #sizeOf = (job: QueuedJob): ResourceAmounts => {
    const size = this.#sizes.estimate(job.kind, job.request)
    return exceedsEveryWorker(size, this.#poolSummaryRow.largestSizes()) ? job.request : size
  }

  /** Requests permits for running tasks and for jobs that could start soon, for each team. */
  async #requestPermits(jobs: readonly QueuedJob[]): Promise<void> {
    const { shares } = this.#opts.configuration()
    const totals = new Map([...shares.keys()].map(team => [team, 0]))
    const countTask = ({ team }: { team: string }) => totals.set(team, (totals.get(team) ?? 0) + 1)
    jobs.slice(0, maxStartsPerChoice).forEach(countTask)
    for (const { row } of this.#tasks.values()) countTask(row)
    for (const [team, total] of totals) await this.#opts.taskDemand.set(team, total)
  }
}
