import type { Clock } from '@bulrushbridge/errors'
import type { TaskRow } from '@bulrushbridge/host'
import { jobsTable, payloadsTable, type Job } from '@bulrushbridge/jobs'
import type { HeldDuty, TableService } from '@bulrushbridge/store'
import type { Placement } from './choose.js'
import type { PlacementConfiguration } from './placement-duty.js'
import { taskOf } from './task-of.js'
import type { TaskRows } from './task-rows.js'
import { startWindowMs, type ClockReading, type WorkerFleet } from './worker-fleet.js'
import type { KnownTask } from './known-task.js'
import type { WorkerVisits } from './worker-visits.js'

/** Longest time of a start call, in milliseconds. */
const startCallMs = 1_000

/** Lifetime of a task's lease, in milliseconds: about ten rounds of renewal. */
export const taskLeaseMs = 10_000

/** What the starts work on. */
export interface TaskStarterOptions {
  table: TableService
  pool: string
  clock: Clock
  rows: TaskRows
  fleet: WorkerFleet
  tasks: Map<string, KnownTask>
  visits: WorkerVisits
  held: () => HeldDuty | undefined
  configuration: () => PlacementConfiguration
  confirmedUntil: () => number
  onError?: (err: unknown) => void
}

/** Claims jobs and starts them on their workers. */
export class TaskStarter {
  readonly #opts: TaskStarterOptions

  constructor(opts: TaskStarterOptions) {
    this.#opts = opts
  }

  /** Claims jobs of one team and calls their workers; returns the tasks that were claimed. */
  async start(team: string, placements: readonly Placement[]): Promise<TaskRow[]> {
    const token = this.#opts.held()?.token ?? 0
    const readings = await this.#readClocks(placements)
    const reachable = placements.flatMap(placement => {
      const boot = readings.get(placement.worker.id)?.boot
      return boot === undefined ? [] : [taskOf(placement, { pool: this.#opts.pool, token, boot })]
    })
    const claimed = await this.#opts.rows.claim(team, reachable)
    for (const row of claimed) {
      // Without a call the worker cannot have started it.
      this.#opts.tasks.set(row.taskId, { row, leaseUntil: -Infinity, mayRun: false })
    }
    await Promise.all(claimed.map(row => this.#call(row, readings.get(row.worker))))
    return claimed
  }

  /** Reads the clocks before the claim, so that a claimed start has an end known to any holder. */
  async #readClocks(placements: readonly Placement[]): Promise<Map<string, ClockReading>> {
    const { fleet, clock, visits, onError } = this.#opts
    const readings = new Map<string, ClockReading>()
    const workers = new Map(placements.map(({ worker }) => [worker.id, worker.address]))
    const reads = [...workers].map(async ([id, address]) => {
      try {
        readings.set(id, await fleet.clockOf(address, clock.now() + startCallMs))
      } catch (err) {
        visits.missed(id)
        onError?.(err)
      }
    })
    await Promise.all(reads)
    return readings
  }

  async #call(row: TaskRow, reading: ClockReading | undefined): Promise<void> {
    const { table, clock, confirmedUntil, configuration, held } = this.#opts
    const task = this.#opts.tasks.get(row.taskId)
    if (task === undefined || reading === undefined) return
    const stored = await table.read<{ payload: unknown }>(payloadsTable, row.jobKey)
    const job = row.idempotent ? await table.read<Job>(jobsTable, row.jobKey) : undefined
    const checkpoint = job?.value.checkpoint
    // Checked last, because the claim and the reads may have taken long.
    const now = clock.now()
    const isCurrent = now < confirmedUntil() && held()?.token === row.token
    if (!isCurrent || configuration().zonesOut.has(row.zone)) return
    task.mayRun = true
    task.leaseUntil = reading.readAt + startWindowMs + taskLeaseMs
    const { taskId, jobId, team, cpus, memoryMb, accelerators, token } = row
    const size = { cpus, memoryMb, accelerators }
    try {
      const answer = await this.#opts.fleet.client(row.address).start(
        {
          taskId,
          jobId,
          team,
          ...size,
          fencingToken: token,
          boot: row.boot,
          startBefore: reading.now + startWindowMs,
          leaseDeadlineMs: taskLeaseMs,
          payload: stored?.value.payload,
          ...(checkpoint === undefined ? {} : { checkpoint }),
        },
        now + startCallMs,
      )
      if (answer === 'full') task.mayRun = false
      if (answer !== 'started') return
      task.leaseUntil = clock.now() + taskLeaseMs
      await this.#opts.visits.confirm(task)
    } catch (err) {
      // The next visit to the worker settles what the call has done.
      this.#opts.onError?.(err)
    }
  }
}
