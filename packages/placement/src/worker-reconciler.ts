import type { Clock } from '@bulrushbridge/errors'
import type { ReportedTask, WorkerClient } from '@bulrushbridge/host'
import { WorkerError } from '@bulrushbridge/host'
import type { HeldLease } from '@bulrushbridge/store'
import type { WorkerFailureTracker } from './worker-failure-tracker.js'
import { extendLease, hasLeaseLapsed, type TrackedTask } from './tracked-task.js'
import type { LearnedSizes } from './learned-sizes.js'
import type { PlacementConfiguration } from './placement-duty.js'
import { decisionAfterTask, type TaskEnd } from './task-end.js'
import type { TaskStore } from './task-store.js'
import { taskLeaseMs } from './task-starter.js'
import type { WorkerClients } from './worker-clients.js'
import { hasLossesToClear } from './worker-losses.js'

/** Timeout of one call to a worker, in milliseconds. */
const callTimeoutMs = 1_000

/** Leases are renewed once one of them has no more than this time left, in milliseconds. */
const renewBeforeMs = 7_000

/** Maximum number of workers that are reconciled at the same time. */
const maxParallelWorkers = 16

/** A decision of the placement, to be recorded for operators. */
export interface PlacementDecision {
  subject: { kind: string; id: string }
  rule: string
  observed: Record<string, unknown>
  action: string
}

/** Options of {@link WorkerReconciler}. */
export interface WorkerReconcilerOptions {
  clock: Clock
  taskStore: TaskStore
  clients: WorkerClients
  tasks: Map<string, TrackedTask>
  sizes: LearnedSizes
  failureTracker: WorkerFailureTracker
  poolSize: () => number
  held: () => HeldLease | undefined
  configuration: () => PlacementConfiguration
  onDecision?(decision: PlacementDecision): void
  onError?(err: unknown): void
}

/**
 * Reconciles the stored tasks with the reports of their workers, and renews the leases of tasks.
 */
export class WorkerReconciler {
  readonly #opts: WorkerReconcilerOptions
  readonly #unreachableWorkers = new Set<string>()

  constructor(opts: WorkerReconcilerOptions) {
    this.#opts = opts
  }

  /** Ids of the workers that did not answer the last call. */
  unreachableWorkers(): ReadonlySet<string> {
    return this.#unreachableWorkers
  }

  /** Marks a worker that did not answer a call. */
  markUnreachable(worker: string): void {
    this.#unreachableWorkers.add(worker)
  }

  /**
   * Reconciles every worker that has tasks, and stops the tasks of jobs that are being cancelled.
   */
  async reconcile(cancelling: ReadonlySet<string>): Promise<void> {
    const byWorker = new Map<string, TrackedTask[]>()
    for (const task of this.#opts.tasks.values()) {
      byWorker.set(task.row.worker, [...(byWorker.get(task.row.worker) ?? []), task])
    }
    for (const worker of this.#unreachableWorkers) {
      // A worker without tasks is not called here; the next start shows whether it answers again.
      if (!byWorker.has(worker)) this.#unreachableWorkers.delete(worker)
    }
    const remainingWorkers = byWorker.entries()
    const errors: unknown[] = []
    const reconcileNext = async () => {
      for (const [worker, tasks] of remainingWorkers) {
        await this.#reconcileWorker(worker, tasks, cancelling).catch((err: unknown) =>
          errors.push(err),
        )
      }
    }
    await Promise.all(Array.from({ length: maxParallelWorkers }, reconcileNext))
    if (errors.length > 0) throw errors[0]
  }

  /** Records that the worker reported the task as running. */
  async confirmRunning(task: TrackedTask): Promise<void> {
    if (task.row.state !== 'starting') return
    await this.#opts.taskStore.markRunning(task.row)
    task.row = { ...task.row, state: 'running' }
  }

  /** Throttles a task or ends its throttling. */
  async setThrottled({ row }: TrackedTask, isThrottled: boolean): Promise<void> {
    const { clock, clients, held } = this.#opts
    const token = held()?.token
    if (token === undefined) return
    await clients
      .clientOf(row.address)
      .throttle(row.taskId, { on: isThrottled, token }, clock.now() + callTimeoutMs)
  }

  /** Checkpoints and stops a task; returns false when nothing was saved and the task still runs. */
  async checkpointAndStop(task: TrackedTask): Promise<boolean> {
    const { clock, clients, held } = this.#opts
    const token = held()?.token
    // A restarted task repeats what it did after its checkpoint, so the task must be idempotent.
    if (token === undefined || !task.row.idempotent) return false
    const client = clients.clientOf(task.row.address)
    const { taskId } = task.row
    const saved = await client.checkpoint(taskId, token, clock.now() + callTimeoutMs)
    if (saved.state === 'running' && saved.checkpoint === undefined) {
      task.isNotCheckpointable = true
      return false
    }
    await this.#endByReport(task, await client.stop(taskId, token, clock.now() + callTimeoutMs))
    return true
  }

  /** Reads the report of one worker, updates its tasks and renews the leases of those that run. */
  async #reconcileWorker(
    worker: string,
    tasks: readonly TrackedTask[],
    cancelling: ReadonlySet<string>,
  ): Promise<void> {
    const { clock, clients } = this.#opts
    const notCalledTasks = tasks.filter(({ canBeRunning }) => !canBeRunning)
    for (const task of notCalledTasks) await this.#endTask(task, 'never-started')
    const calledTasks = tasks.filter(({ canBeRunning }) => canBeRunning)
    const address = calledTasks[0]?.row.address
    if (address === undefined) return
    const client = clients.clientOf(address)
    let listed: Awaited<ReturnType<WorkerClient['list']>>
    try {
      listed = await client.list(clock.now() + callTimeoutMs)
      this.#unreachableWorkers.delete(worker)
    } catch (err) {
      if (!(err instanceof WorkerError)) throw err
      this.#unreachableWorkers.add(worker)
      for (const task of calledTasks)
        if (hasLeaseLapsed(task, clock.now())) await this.#endTask(task, 'stopped', true)
      return
    }
    clients.recordReading(address, listed)
    const listedAt = clock.now()
    const reports = new Map(listed.tasks.map(report => [report.taskId, report]))
    const tasksToRenew: TrackedTask[] = []
    for (const task of calledTasks) {
      // Whenever the start call arrived, its lease began before this report.
      if (task.row.state === 'starting') extendLease(task, listedAt)
      await this.#reconcileTask(client, task, reports.get(task.row.taskId), {
        cancelling,
        boot: listed.boot,
      })
        .then(isRunning => isRunning && tasksToRenew.push(task))
        .catch(this.#onCallError)
    }
    await this.#renewLeases(client, tasksToRenew, { now: listed.now, listedAt }).catch(
      this.#onCallError,
    )
  }

  /** Renews the leases of all tasks of a worker by one call. */
  async #renewLeases(
    client: WorkerClient,
    tasks: readonly TrackedTask[],
    { now, listedAt }: { now: number; listedAt: number },
  ): Promise<void> {
    const { clock, held } = this.#opts
    const token = held()?.token
    const isDue = tasks.some(({ leaseEndsAt }) => leaseEndsAt - clock.now() <= renewBeforeMs)
    if (token === undefined || !isDue) return
    // The call may take effect even if its answer is lost.
    for (const task of tasks) extendLease(task, listedAt)
    const taskIds = tasks.map(({ row }) => row.taskId)
    const lease = { taskIds, until: now + taskLeaseMs, fencingToken: token }
    await client.renew(lease, clock.now() + callTimeoutMs)
  }

  /** Reports failed calls to workers; other errors end the round. */
  readonly #onCallError = (err: unknown) => {
    if (!(err instanceof WorkerError)) throw err
    this.#opts.onError?.(err)
  }

  /** Updates a task by the report of its worker; returns whether the task still runs. */
  async #reconcileTask(
    client: WorkerClient,
    task: TrackedTask,
    report: ReportedTask | undefined,
    { cancelling, boot }: { cancelling: ReadonlySet<string>; boot: string },
  ): Promise<boolean> {
    if (report === undefined) {
      await this.#stopUnlistedTask(client, task, boot)
      return false
    }
    if (report.state === 'running') {
      task.reportedRunMs = report.runMs
      await this.confirmRunning(task)
      await this.#clearWorkerLosses(task)
      return !(await this.#stopIfDue(client, task, cancelling))
    }
    await this.#endByReport(task, report, boot)
    return false
  }

  /**
   * Stops a task that its worker does not list. The worker fences the id and refuses a late start.
   */
  async #stopUnlistedTask(client: WorkerClient, task: TrackedTask, boot: string): Promise<void> {
    const token = this.#opts.held()?.token
    if (token === undefined) return
    const report = await client.stop(task.row.taskId, token, this.#opts.clock.now() + callTimeoutMs)
    // A restarted worker does not know its former tasks, so a start without an answer may have run.
    const isRestarted = task.row.boot !== boot
    const hasStarted = report.started || task.row.state !== 'starting' || isRestarted
    await this.#endTask(task, hasStarted ? 'stopped' : 'never-started', isRestarted)
  }

  /**
   * Stops a task that is cancelled or in a zone that is out; returns whether the task has to stop.
   */
  async #stopIfDue(
    client: WorkerClient,
    task: TrackedTask,
    cancelling: ReadonlySet<string>,
  ): Promise<boolean> {
    const { clock, held, configuration } = this.#opts
    const token = held()?.token
    if (token === undefined) return true
    const { taskId, jobId, zone, idempotent } = task.row
    const isCancelled = cancelling.has(jobId)
    // A non-idempotent job must not be started again elsewhere, so its task runs to its end.
    const mustLeaveZone = configuration().zonesOut.has(zone) && idempotent
    if (!isCancelled && !mustLeaveZone) return false
    if (!isCancelled) await client.checkpoint(taskId, token, clock.now() + callTimeoutMs)
    await this.#endByReport(task, await client.stop(taskId, token, clock.now() + callTimeoutMs))
    return true
  }

  /**
   * Records the end that the worker reported, the failures of the worker and the observed usage.
   * `boot` is that of the worker that reports, if it may have restarted since the start of the task.
   */
  async #endByReport(task: TrackedTask, report: ReportedTask, boot?: string): Promise<void> {
    const { failureTracker, sizes, poolSize } = this.#opts
    const { worker, team, kind } = task.row
    if (report.checkpoint !== undefined) task.checkpoint = report.checkpoint
    if (report.state === 'finished') {
      if (failureTracker.recordSuccess(worker)) {
        this.#opts.onDecision?.({
          subject: { kind: 'worker', id: worker },
          rule: 'trial-succeeded',
          observed: { team, quarantined: failureTracker.quarantinedWorkers().length },
          action: 'reinstate',
        })
      }
      // Workers report usage with a delay, so a short task may end without any.
      if (report.usage.cpus > 0) sizes.observe(kind, { ...report.usage, runMs: report.runMs })
      await this.#endTask(task, 'finished')
      return
    }
    if (report.state === 'failed') {
      await this.#endTask(task, 'failed')
      if (failureTracker.recordFailure(worker, team, poolSize())) {
        this.#opts.onDecision?.({
          subject: { kind: 'worker', id: worker },
          rule: 'worker-failed-teams',
          observed: { team, quarantined: failureTracker.quarantinedWorkers().length },
          action: 'quarantine',
        })
      }
      return
    }
    const { state, boot: startBoot } = task.row
    const isRestarted = boot !== undefined && boot !== startBoot
    const hasStarted = report.started || state !== 'starting' || isRestarted
    await this.#endTask(task, hasStarted ? 'stopped' : 'never-started', isRestarted)
  }

  async #clearWorkerLosses(task: TrackedTask): Promise<void> {
    if (!hasLossesToClear(task)) return
    await this.#opts.taskStore.clearWorkerLosses(task.row)
    task.row = { ...task.row, workerLosses: 0 }
  }

  /** Ends a task. `isWorkerGone` is true after a restart of its worker or an end of its lease. */
  async #endTask(task: TrackedTask, end: TaskEnd, isWorkerGone = false): Promise<void> {
    const { row, checkpoint, reportedRunMs: runMs = 0 } = task
    const isExpected = task.isWorkerWithdrawn === true || task.isStartRefused === true
    const isWorkerLost = isWorkerGone && !isExpected
    const run = { checkpoint, runMs, isWorkerLost }
    const jobAfter = await this.#opts.taskStore.endTask(row, end, run)
    this.#opts.tasks.delete(row.taskId)
    const decision = jobAfter && decisionAfterTask(row.jobId, jobAfter)
    if (decision !== undefined) this.#opts.onDecision?.(decision)
  }
}
