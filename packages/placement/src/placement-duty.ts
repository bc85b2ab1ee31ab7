import type { Clock } from '@bulrushbridge/errors'
import { hostsTable, poolRange, type WorkerRow, type WorkResources } from '@bulrushbridge/host'
import { exceedsAll, type QueuedJob } from '@bulrushbridge/jobs'
import type { HeldDuty, TableService } from '@bulrushbridge/store'
import type { TaskPermits, TaskWishWriter } from '@bulrushbridge/team-limit'
import { sumOf } from './amounts.js'
import { createWorkerBlame, type WorkerBlame } from './blame.js'
import { choosePlacements, type Placement } from './choose.js'
import { LearnedRow } from './learned-row.js'
import { createLearnedSizes } from './learned-sizes.js'
import { PoolSummaryRow } from './pool-summary-row.js'
import { QueuedJobs } from './queued-jobs.js'
import { Reclaimer } from './reclaimer.js'
import { TaskRows } from './task-rows.js'
import { TaskStarter, taskLeaseMs } from './task-starter.js'
import { TeamCaps } from './team-caps.js'
import { estimateWaits } from './wait-estimate.js'
import { WorkerFleet, startWindowMs } from './worker-fleet.js'
import type { KnownTask } from './known-task.js'
import { WorkerVisits, type PlacementDecision } from './worker-visits.js'

/** Tasks that one round starts at most. */
const startsPerRound = 100

/** Interval of reading the workers' rows, in milliseconds. */
const workersIntervalMs = 2_000

/** Choices of one round; each but the first follows a team that turned out to be at its limit. */
const maxPasses = 3

/** The part of the configuration that placement needs. */
export interface PlacementConfiguration {
  queues: readonly string[]
  shares: ReadonlyMap<string, number>
  zonesOut: ReadonlySet<string>
}

/** Options of {@link createPlacementDuty}. */
export interface PlacementDutyOptions {
  table: TableService
  permits: TaskPermits
  /** Asks idle entry hosts for permits. */
  wishes: TaskWishWriter
  pool: string
  clock: Clock
  /** Wall clock in milliseconds, for times that the next holder reads. */
  wallClock?: () => number
  /** The lease of the duty `placement/<pool>`. */
  held: () => HeldDuty | undefined
  configuration: () => PlacementConfiguration
  /** Until when the configuration is current; nothing starts after it. */
  confirmedUntil: () => number
  /** Workers that the host list calls leaving, and those it no longer names. */
  listed(): { leaving: ReadonlySet<string>; gone: ReadonlySet<string> }
  onDecision?(decision: PlacementDecision): void
  onError?(err: unknown): void
}

/** One term of the placement of a pool's jobs. */
export interface PlacementDuty {
  /** One round: reads the rows, settles tasks with their workers, starts queued jobs. */
  round(): Promise<void>
  close(): Promise<void>
}

/**
 * Creates the placement of one pool's jobs for the time of one lease. All that must survive is in
 * rows, so the next holder continues from them.
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
  readonly #rows: TaskRows
  readonly #fleet: WorkerFleet
  readonly #visits: WorkerVisits
  readonly #starter: TaskStarter
  readonly #reclaimer: Reclaimer
  readonly #caps: TeamCaps
  readonly #sizes = createLearnedSizes()
  readonly #blame: WorkerBlame
  readonly #learned: LearnedRow
  readonly #summary: PoolSummaryRow
  readonly #queue: QueuedJobs
  readonly #tasks = new Map<string, KnownTask>()
  #workers: WorkerRow[] = []
  #workersReadAt = -Infinity
  #isLoaded = false

  constructor(opts: PlacementDutyOptions) {
    this.#opts = opts
    this.#rows = new TaskRows(opts)
    const { wallClock = Date.now } = opts
    this.#blame = createWorkerBlame({ wallClock })
    this.#learned = new LearnedRow({
      ...opts,
      rows: this.#rows,
      sizes: this.#sizes,
      blame: this.#blame,
    })
    this.#summary = new PoolSummaryRow({ ...opts, wallClock, rows: this.#rows })
    this.#queue = new QueuedJobs({
      ...opts,
      rows: this.#rows,
      sizes: this.#sizes,
      summary: this.#summary,
    })
    this.#caps = new TeamCaps(opts.clock, this.#tasks)
    this.#fleet = new WorkerFleet(opts.clock)
    this.#visits = new WorkerVisits({
      ...opts,
      rows: this.#rows,
      fleet: this.#fleet,
      tasks: this.#tasks,
      sizes: this.#sizes,
      blame: this.#blame,
      poolSize: () => this.#workers.length,
    })
    this.#starter = new TaskStarter({
      ...opts,
      rows: this.#rows,
      fleet: this.#fleet,
      tasks: this.#tasks,
      visits: this.#visits,
    })
    this.#reclaimer = new Reclaimer({
      ...opts,
      tasks: this.#tasks,
      visits: this.#visits,
      sizes: this.#sizes,
      onCapped: team => {
        this.#caps.mark(team)
      },
    })
  }

  async round(): Promise<void> {
    if (this.#opts.held() === undefined) return
    try {
      await this.#readWorkers()
      await this.#learned.load()
      await this.#summary.load()
      if (!this.#isLoaded) await this.#load()
      await this.#visits.run(await this.#cancelling())
      await this.#startQueued()
      await this.#learned.save()
    } catch (err) {
      // A transaction may have taken effect without an answer, so the rows are read again.
      this.#isLoaded = false
      throw err
    }
  }

  async close(): Promise<void> {
    await this.#fleet.close()
  }

  async #readWorkers(): Promise<void> {
    const now = this.#opts.clock.now()
    if (now - this.#workersReadAt < workersIntervalMs) return
    const rows = await this.#opts.table.scan<WorkerRow>(hostsTable, poolRange(this.#opts.pool))
    this.#workers = rows.map(row => row.value)
    this.#summary.seen(this.#workers)
    if (rows.length > 0) this.#blame.keep(new Set(this.#workers.map(({ id }) => id)))
    this.#workersReadAt = now
  }

  /** Reads the tasks. What a former holder may have renewed is taken to be as long as possible. */
  async #load(): Promise<void> {
    const rows = await this.#rows.load()
    const ids = new Set(rows.map(row => row.taskId))
    for (const id of this.#tasks.keys()) if (!ids.has(id)) this.#tasks.delete(id)
    const now = this.#opts.clock.now()
    const leaseUntil = now + taskLeaseMs
    // A start may still arrive; its worker's clock was read before the claim.
    const startUntil = now + startWindowMs + taskLeaseMs
    for (const row of rows) {
      const known = this.#tasks.get(row.taskId)
      if (known === undefined) {
        const until = row.state === 'starting' ? startUntil : leaseUntil
        this.#tasks.set(row.taskId, { row, leaseUntil: until, mayRun: true })
      } else {
        // It was confirmed by a transaction with a lost answer; its lease began before that.
        if (known.row.state === 'starting' && row.state === 'running') {
          known.leaseUntil = Math.max(known.leaseUntil, leaseUntil)
        }
        known.row = row
      }
    }
    this.#isLoaded = true
  }

  #cancelling(): Promise<Set<string>> {
    // Without tasks nothing has to be stopped.
    return this.#queue.cancelling(this.#tasks.size === 0 ? [] : this.#opts.configuration().queues)
  }

  async #startQueued(): Promise<void> {
    const { configuration, clock, confirmedUntil } = this.#opts
    if (clock.now() >= confirmedUntil()) return
    const { queues, shares } = configuration()
    const jobs = await this.#queue.read(queues)
    await this.#wish(jobs)
    const closedWorkers = this.#closedWorkers()
    let capped = this.#caps.capped()
    let left = jobs.filter(({ team }) => !capped.has(team))
    // What a team at its limit could not claim is offered to the others.
    for (let pass = 0; pass < maxPasses && left.length > 0; pass++) {
      const started = await this.#startSome(left, closedWorkers)
      capped = this.#caps.capped()
      const isCapped = left.some(({ team }) => capped.has(team))
      left = left.filter(({ id, team }) => !started.has(id) && !capped.has(team))
      if (!isCapped) break
    }
    const { zonesOut } = configuration()
    const workers = this.#workers.filter(
      ({ id, zone }) =>
        !zonesOut.has(zone) && !closedWorkers.has(id) && !this.#blame.isQuarantined(id),
    )
    await this.#saveSummary(jobs, workers)
    const ordered = left.sort((a, b) => Number(b.urgent) - Number(a.urgent))
    await this.#reclaimer.run({ jobs: ordered, workers, shares, sizeOf: this.#sizeOf })
  }

  async #saveSummary(jobs: readonly QueuedJob[], workers: readonly WorkerRow[]): Promise<void> {
    const rows = [...this.#tasks.values()].map(({ row }) => row)
    const started = new Set(rows.map(({ jobId }) => jobId))
    const waits = estimateWaits({
      jobs: jobs.filter(({ id }) => !started.has(id)),
      running: rows.map(({ team }) => team),
      shares: this.#opts.configuration().shares,
      capacity: sumOf(workers),
      sizeOf: this.#sizeOf,
      runMsOf: kind => this.#sizes.runMs(kind),
    })
    await this.#summary.save(waits)
  }

  /** Starts what there is room for; returns the ids of the jobs that were claimed. */
  async #startSome(
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
      trialWorkers: new Set(this.#blame.onTrial()),
      shares,
      reserved: this.#reclaimer.reserved(),
      sizeOf: this.#sizeOf,
      limit: startsPerRound,
    })
    const teams = new Map<string, Placement[]>()
    for (const placement of placements) {
      const { team } = placement.job
      teams.set(team, [...(teams.get(team) ?? []), placement])
    }
    const started = new Set<string>()
    for (const [team, chosen] of teams) {
      const claimed = await this.#starter.start(team, chosen)
      for (const { jobId } of claimed) started.add(jobId)
      if (claimed.length < chosen.length) this.#caps.mark(team)
    }
    return started
  }

  #closedWorkers(): Set<string> {
    const { leaving, gone } = this.#opts.listed()
    const onTrial = new Set(this.#blame.onTrial())
    const paused = this.#blame.quarantined().filter(id => !onTrial.has(id))
    return new Set([...leaving, ...gone, ...paused, ...this.#visits.unreachable()])
  }

  readonly #sizeOf = (job: QueuedJob): WorkResources => {
    const size = this.#sizes.estimate(job.kind, job.request)
    return exceedsAll(size, this.#summary.largest()) ? job.request : size
  }

  /** Permits for what runs and what could run soon, for each team of the configuration. */
  async #wish(jobs: readonly QueuedJob[]): Promise<void> {
    const { shares } = this.#opts.configuration()
    const totals = new Map([...shares.keys()].map(team => [team, 0]))
    const add = ({ team }: { team: string }) => totals.set(team, (totals.get(team) ?? 0) + 1)
    jobs.slice(0, startsPerRound).forEach(add)
    for (const { row } of this.#tasks.values()) add(row)
    for (const [team, total] of totals) await this.#opts.wishes.set(team, total)
  }
}
