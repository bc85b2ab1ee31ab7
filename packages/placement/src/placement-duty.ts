import type { Clock } from '@bulrushbridge/errors'
import { hostsTable, poolRange, type TaskRow, type WorkerRow } from '@bulrushbridge/host'
import {
  cancellingTable,
  jobKey,
  jobsTable,
  payloadsTable,
  queuedRange,
  queuedTable,
  type Job,
  type QueuedJob,
} from '@bulrushbridge/jobs'
import type { HeldDuty, TableService } from '@bulrushbridge/store'
import type { TaskPermits, TaskWishWriter } from '@bulrushbridge/team-limit'
import { createWorkerBlame } from './blame.js'
import { canNeverRun, choosePlacements, type Placement } from './choose.js'
import { createLearnedSizes } from './learned-sizes.js'
import { taskOf } from './task-of.js'
import { TaskRows } from './task-rows.js'
import { WorkerFleet } from './worker-fleet.js'
import { WorkerVisits, type KnownTask, type PlacementDecision } from './worker-visits.js'

/** Queued jobs of each queue that one round considers. */
const jobsPerQueue = 200

/** Tasks that one round starts at most. */
const startsPerRound = 100

/** Interval of reading the workers' rows, in milliseconds. */
const workersIntervalMs = 2_000

/** Longest time of a start call, in milliseconds. */
const startCallMs = 1_000

/** Lifetime of a task's lease, in milliseconds: about ten rounds of renewal. */
export const taskLeaseMs = 10_000

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
  readonly #sizes = createLearnedSizes()
  readonly #blame = createWorkerBlame()
  readonly #tasks = new Map<string, KnownTask>()
  #workers: WorkerRow[] = []
  #workersReadAt = -Infinity
  #isLoaded = false

  constructor(opts: PlacementDutyOptions) {
    this.#opts = opts
    this.#rows = new TaskRows(opts)
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
  }

  async round(): Promise<void> {
    if (this.#opts.held() === undefined) return
    try {
      await this.#readWorkers()
      if (!this.#isLoaded) await this.#load()
      await this.#visits.run(await this.#cancelling())
      await this.#startQueued()
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
    this.#workersReadAt = now
  }

  /** Reads the tasks. What a former holder may have renewed is taken to be as long as possible. */
  async #load(): Promise<void> {
    const rows = await this.#rows.load()
    const ids = new Set(rows.map(row => row.taskId))
    for (const id of this.#tasks.keys()) if (!ids.has(id)) this.#tasks.delete(id)
    const leaseUntil = this.#opts.clock.now() + taskLeaseMs
    for (const row of rows) {
      const known = this.#tasks.get(row.taskId)
      if (known === undefined) this.#tasks.set(row.taskId, { row, leaseUntil, mayRun: true })
      else known.row = row
    }
    this.#isLoaded = true
  }

  /** Ids of the jobs that are being cancelled. */
  async #cancelling(): Promise<Set<string>> {
    const ids = new Set<string>()
    if (this.#tasks.size === 0) return ids
    for (const queue of this.#opts.configuration().queues) {
      const rows = await this.#opts.table.scan<unknown>(cancellingTable, queuedRange(queue))
      for (const { key } of rows) ids.add(key.slice(key.indexOf('/') + 1))
    }
    return ids
  }

  async #startQueued(): Promise<void> {
    const { configuration, clock, confirmedUntil } = this.#opts
    if (clock.now() >= confirmedUntil()) return
    const { queues, shares, zonesOut } = configuration()
    const jobs = await this.#queuedJobs(queues)
    await this.#wish(jobs)
    if (jobs.length === 0) return
    const { leaving, gone } = this.#opts.listed()
    const closedWorkers = new Set([
      ...leaving,
      ...gone,
      ...this.#blame.quarantined(),
      ...this.#visits.unreachable(),
    ])
    const placements = choosePlacements({
      jobs,
      workers: this.#workers,
      tasks: [...this.#tasks.values()].map(({ row }) => row),
      zonesOut,
      closedWorkers,
      shares,
      sizeOf: job => {
        const size = this.#sizes.estimate(job.kind, job.request)
        return canNeverRun(size, this.#workers) ? job.request : size
      },
      limit: startsPerRound,
    })
    const teams = new Map<string, Placement[]>()
    for (const placement of placements) {
      const { team } = placement.job
      teams.set(team, [...(teams.get(team) ?? []), placement])
    }
    for (const [team, chosen] of teams) await this.#startOf(team, chosen)
  }

  async #queuedJobs(queues: readonly string[]): Promise<QueuedJob[]> {
    const runnable: QueuedJob[] = []
    for (const queue of queues) {
      const range = { ...queuedRange(queue), limit: jobsPerQueue }
      const rows = await this.#opts.table.scan<QueuedJob>(queuedTable, range)
      for (const { value: job } of rows) {
        // Learned sizes carry a margin, so they alone must not park a job.
        if (canNeverRun(job.request, this.#workers)) await this.#park(job)
        else runnable.push(job)
      }
    }
    return runnable
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

  async #park(job: QueuedJob): Promise<void> {
    const reason = 'it is larger than any worker of the pool'
    await this.#rows.park(jobKey(job.team, job.id), reason)
    this.#opts.onDecision?.({
      subject: { kind: 'job', id: job.id },
      rule: 'job-never-fits',
      observed: { ...job.request },
      action: 'park',
    })
  }

  async #startOf(team: string, placements: readonly Placement[]): Promise<void> {
    const token = this.#opts.held()?.token ?? 0
    const tasks = placements.map(placement => taskOf(placement, this.#opts.pool, token))
    const claimed = await this.#rows.claim(team, tasks)
    for (const row of claimed) {
      // Without a call the worker cannot have started it.
      this.#tasks.set(row.taskId, { row, leaseUntil: -Infinity, mayRun: false })
    }
    await Promise.all(claimed.map(row => this.#start(row)))
  }

  async #start(row: TaskRow): Promise<void> {
    const { table, clock, confirmedUntil, configuration, held } = this.#opts
    const task = this.#tasks.get(row.taskId)
    if (task === undefined) return
    const stored = await table.read<{ payload: unknown }>(payloadsTable, row.jobKey)
    const job = row.idempotent ? await table.read<Job>(jobsTable, row.jobKey) : undefined
    const checkpoint = job?.value.checkpoint
    // Checked last, because the claim and the reads may have taken long.
    const now = clock.now()
    const isCurrent = now < confirmedUntil() && held()?.token === row.token
    if (!isCurrent || configuration().zonesOut.has(row.zone)) return
    task.mayRun = true
    const { taskId, jobId, team, cpus, memoryMb, accelerators, token } = row
    const size = { cpus, memoryMb, accelerators }
    try {
      const answer = await this.#fleet.client(row.address).start(
        {
          taskId,
          jobId,
          team,
          ...size,
          fencingToken: token,
          leaseDeadlineMs: taskLeaseMs,
          payload: stored?.value.payload,
          ...(checkpoint === undefined ? {} : { checkpoint }),
        },
        now + startCallMs,
      )
      if (answer === 'full') task.mayRun = false
      if (answer !== 'started') return
      task.leaseUntil = clock.now() + taskLeaseMs
      await this.#visits.confirm(task)
    } catch (err) {
      // The next visit to the worker settles what the call has done.
      this.#opts.onError?.(err)
    }
  }
}
