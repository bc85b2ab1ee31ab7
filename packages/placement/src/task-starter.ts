import type { Clock } from '@bulrushbridge/errors'
import type { TaskRow } from '@bulrushbridge/host'
import { storedJobsTable, payloadsTable, type StoredJob } from '@bulrushbridge/jobs'
import type { HeldLease, TableService } from '@bulrushbridge/store'
import type { JobPlacement } from './choose-placements.js'
import type { PlacementConfiguration } from './placement-duty.js'
import { createTaskRow } from './create-task-row.js'
import type { TaskStore } from './task-store.js'
import { startWindowMs, type ClockReading, type WorkerClients } from './worker-clients.js'
import type { TrackedTask } from './tracked-task.js'
import type { WorkerReconciler } from './worker-reconciler.js'

/** Timeout of a clock call or start call to a worker, in milliseconds. */
const startCallTimeoutMs = 1_000

/** Lifetime of a task's lease, in milliseconds: about ten rounds of renewal. */
export const taskLeaseMs = 10_000

/** Options of {@link TaskStarter}. */
export interface TaskStarterOptions {
  table: TableService
  pool: string
  clock: Clock
  taskStore: TaskStore
  clients: WorkerClients
  tasks: Map<string, TrackedTask>
  reconciler: WorkerReconciler
  held: () => HeldLease | undefined
  configuration: () => PlacementConfiguration
  confirmedUntil: () => number
  onError?: (err: unknown) => void
}

/** Claims queued jobs and starts their tasks on the chosen workers. */
export class TaskStarter {
  readonly #opts: TaskStarterOptions

  constructor(opts: TaskStarterOptions) {
    this.#opts = opts
  }

  /** Claims jobs of one team and calls the chosen workers; returns the tasks that were claimed. */
  async start(team: string, placements: readonly JobPlacement[]): Promise<TaskRow[]> {
    const token = this.#opts.held()?.token ?? 0
    const readings = await this.#readClocks(placements)
    const reachable = placements.flatMap(placement => {
      const boot = readings.get(placement.worker.id)?.boot
      return boot === undefined
        ? []
        : [createTaskRow(placement, { pool: this.#opts.pool, token, boot })]
    })
    const claimed = await this.#opts.taskStore.claim(team, reachable)
    for (const row of claimed) {
      // The worker cannot have started the task before the start call.
      this.#opts.tasks.set(row.taskId, { row, leaseEndsAt: -Infinity, canBeRunning: false })
    }
    await Promise.all(claimed.map(row => this.#callWorker(row, readings.get(row.worker))))
    return claimed
  }

  /**
   * Reads the clocks of the workers. This happens before the claim, so that any later holder of the
   * duty can bound the time within which a claimed task may still start.
   */
  async #readClocks(placements: readonly JobPlacement[]): Promise<Map<string, ClockReading>> {
    const { clients, clock, reconciler, onError } = this.#opts
    const readings = new Map<string, ClockReading>()
    const workers = new Map(placements.map(({ worker }) => [worker.id, worker.address]))
    const reads = [...workers].map(async ([id, address]) => {
      try {
        readings.set(id, await clients.readClock(address, clock.now() + startCallTimeoutMs))
      } catch (err) {
        reconciler.markUnreachable(id)
        onError?.(err)
      }
    })
    await Promise.all(reads)
    return readings
  }

  async #callWorker(row: TaskRow, reading: ClockReading | undefined): Promise<void> {
    const { table, clock, confirmedUntil, configuration, held } = this.#opts
    const task = this.#opts.tasks.get(row.taskId)
    if (task === undefined || reading === undefined) return
    const stored = await table.read<{ payload: unknown }>(payloadsTable, row.jobKey)
    const job = row.idempotent
      ? await table.read<StoredJob>(storedJobsTable, row.jobKey)
      : undefined
    const checkpoint = job?.value.checkpoint
    // Checked immediately before the call, because the claim and the reads may have taken long.
    const now = clock.now()
    const isCurrent = now < confirmedUntil() && held()?.token === row.token
    if (!isCurrent || configuration().zonesOut.has(row.zone)) return
    task.canBeRunning = true
    task.leaseEndsAt = reading.readAt + startWindowMs + taskLeaseMs
    const { taskId, jobId, team, cpus, memoryMb, accelerators, token } = row
    const size = { cpus, memoryMb, accelerators }
    try {
      const answer = await this.#opts.clients.clientOf(row.address).start(
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
        now + startCallTimeoutMs,
      )
      if (answer === 'full') task.canBeRunning = false
      if (answer === 'ended') task.isStartRefused = true
      if (answer !== 'started') return
      task.leaseEndsAt = clock.now() + taskLeaseMs
      await this.#opts.reconciler.confirmRunning(task)
    } catch (err) {
      // The next reconciliation of the worker finds out whether the task started.
      this.#opts.onError?.(err)
    }
  }
}
