import type { Clock } from '@bulrushbridge/errors'
import type { ReportedTask, WorkerClient } from '@bulrushbridge/host'
import { WorkerError } from '@bulrushbridge/host'
import type { HeldDuty } from '@bulrushbridge/store'
import type { WorkerBlame } from './blame.js'
import { extendLease, hasLapsed, type KnownTask } from './known-task.js'
import type { LearnedSizes } from './learned-sizes.js'
import type { PlacementConfiguration } from './placement-duty.js'
import type { TaskEnd } from './task-end.js'
import type { TaskRows } from './task-rows.js'
import { taskLeaseMs } from './task-starter.js'
import type { WorkerFleet } from './worker-fleet.js'

/** Longest time of one call to a worker, in milliseconds. */
const callMs = 1_000

/** A lease is renewed when less than this is left, in milliseconds. */
const renewBeforeMs = 7_000

/** Workers that are visited at the same time. */
const parallelVisits = 16

/** A decision for the records. */
export interface PlacementDecision {
  subject: { kind: string; id: string }
  rule: string
  observed: Record<string, unknown>
  action: string
}

/** What the visits work on. */
export interface WorkerVisitsOptions {
  clock: Clock
  rows: TaskRows
  fleet: WorkerFleet
  tasks: Map<string, KnownTask>
  sizes: LearnedSizes
  blame: WorkerBlame
  poolSize: () => number
  held: () => HeldDuty | undefined
  configuration: () => PlacementConfiguration
  onDecision?(decision: PlacementDecision): void
  onError?(err: unknown): void
}

/** Compares the tasks in the rows with what their workers report, and renews their leases. */
export class WorkerVisits {
  readonly #opts: WorkerVisitsOptions
  readonly #unreachable = new Set<string>()

  constructor(opts: WorkerVisitsOptions) {
    this.#opts = opts
  }

  /** Workers that did not answer the last visit. */
  unreachable(): ReadonlySet<string> {
    return this.#unreachable
  }

  /** A call to the worker got no answer. */
  missed(worker: string): void {
    this.#unreachable.add(worker)
  }

  /** Visits every worker that has tasks. */
  async run(cancelling: ReadonlySet<string>): Promise<void> {
    const byWorker = new Map<string, KnownTask[]>()
    for (const task of this.#opts.tasks.values()) {
      byWorker.set(task.row.worker, [...(byWorker.get(task.row.worker) ?? []), task])
    }
    for (const worker of this.#unreachable) {
      // Without tasks there the next start shows whether it answers again.
      if (!byWorker.has(worker)) this.#unreachable.delete(worker)
    }
    const waiting = byWorker.entries()
    const errors: unknown[] = []
    const visitNext = async () => {
      for (const [worker, tasks] of waiting) {
        await this.#visit(worker, tasks, cancelling).catch((err: unknown) => errors.push(err))
      }
    }
    await Promise.all(Array.from({ length: parallelVisits }, visitNext))
    if (errors.length > 0) throw errors[0]
  }

  /** The worker said that it runs the task. */
  async confirm(task: KnownTask): Promise<void> {
    if (task.row.state !== 'starting') return
    await this.#opts.rows.markRunning(task.row)
    task.row = { ...task.row, state: 'running' }
  }

  /** Slows a task down, or lets it go on at its speed. */
  async throttle({ row }: KnownTask, on: boolean): Promise<void> {
    const { clock, fleet, held } = this.#opts
    const token = held()?.token
    if (token === undefined) return
    await fleet.client(row.address).throttle(row.taskId, { on, token }, clock.now() + callMs)
  }

  /** Checkpoints and stops a task; false when the worker saved nothing, and the task runs on. */
  async takeOff(task: KnownTask): Promise<boolean> {
    const { clock, fleet, held } = this.#opts
    const token = held()?.token
    // A non-idempotent task would repeat what it did after its checkpoint.
    if (token === undefined || !task.row.idempotent) return false
    const client = fleet.client(task.row.address)
    const { taskId } = task.row
    const saved = await client.checkpoint(taskId, token, clock.now() + callMs)
    if (saved.state === 'running' && saved.checkpoint === undefined) {
      task.hasNoCheckpoint = true
      return false
    }
    await this.#endAs(task, await client.stop(taskId, token, clock.now() + callMs))
    return true
  }

  async #visit(
    worker: string,
    tasks: readonly KnownTask[],
    cancelling: ReadonlySet<string>,
  ): Promise<void> {
    const { clock, fleet } = this.#opts
    const uncalled = tasks.filter(({ mayRun }) => !mayRun)
    for (const task of uncalled) await this.#end(task, 'never-started')
    const called = tasks.filter(({ mayRun }) => mayRun)
    const address = called[0]?.row.address
    if (address === undefined) return
    const client = fleet.client(address)
    let listed: Awaited<ReturnType<WorkerClient['list']>>
    try {
      listed = await client.list(clock.now() + callMs)
      this.#unreachable.delete(worker)
    } catch (err) {
      if (!(err instanceof WorkerError)) throw err
      this.#unreachable.add(worker)
      for (const task of called) if (hasLapsed(task, clock.now())) await this.#end(task, 'stopped')
      return
    }
    fleet.read(address, listed)
    const listedAt = clock.now()
    const reports = new Map(listed.tasks.map(report => [report.taskId, report]))
    const kept: KnownTask[] = []
    for (const task of called) {
      // A lease that a start gave began before the report, whenever the start arrived.
      if (task.row.state === 'starting') extendLease(task, listedAt)
      await this.#settle(client, task, reports.get(task.row.taskId), {
        cancelling,
        boot: listed.boot,
      })
        .then(isKept => isKept && kept.push(task))
        .catch(this.#onCallError)
    }
    await this.#renew(client, kept, { now: listed.now, listedAt }).catch(this.#onCallError)
  }

  /** One call renews the leases of all tasks of the worker. */
  async #renew(
    client: WorkerClient,
    tasks: readonly KnownTask[],
    { now, listedAt }: { now: number; listedAt: number },
  ): Promise<void> {
    const { clock, held } = this.#opts
    const token = held()?.token
    const isDue = tasks.some(({ leaseUntil }) => leaseUntil - clock.now() <= renewBeforeMs)
    if (token === undefined || !isDue) return
    // The call may take effect without an answer.
    for (const task of tasks) extendLease(task, listedAt)
    const taskIds = tasks.map(({ row }) => row.taskId)
    const lease = { taskIds, until: now + taskLeaseMs, fencingToken: token }
    await client.renew(lease, clock.now() + callMs)
  }

  /** Calls to workers may fail; other errors end the round. */
  readonly #onCallError = (err: unknown) => {
    if (!(err instanceof WorkerError)) throw err
    this.#opts.onError?.(err)
  }

  /** Returns whether the task goes on. */
  async #settle(
    client: WorkerClient,
    task: KnownTask,
    report: ReportedTask | undefined,
    { cancelling, boot }: { cancelling: ReadonlySet<string>; boot: string },
  ): Promise<boolean> {
    if (report === undefined) {
      await this.#settleUnlisted(client, task, boot)
      return false
    }
    if (report.state === 'running') {
      task.ranMs = report.runMs
      await this.confirm(task)
      return !(await this.#stopIfDue(client, task, cancelling))
    }
    await this.#endAs(task, report)
    return false
  }

  /** A worker that does not list a task fences its id, so that a late start is refused. */
  async #settleUnlisted(client: WorkerClient, task: KnownTask, boot: string): Promise<void> {
    const token = this.#opts.held()?.token
    if (token === undefined) return
    const report = await client.stop(task.row.taskId, token, this.#opts.clock.now() + callMs)
    // A worker that has restarted has forgotten its tasks, so a start without an answer may have run.
    const hasRun = report.started || task.row.state !== 'starting' || task.row.boot !== boot
    await this.#end(task, hasRun ? 'stopped' : 'never-started')
  }

  /** Stops a task that is cancelled or in a zone taken out; returns whether it did. */
  async #stopIfDue(
    client: WorkerClient,
    task: KnownTask,
    cancelling: ReadonlySet<string>,
  ): Promise<boolean> {
    const { clock, held, configuration } = this.#opts
    const token = held()?.token
    if (token === undefined) return true
    const { taskId, jobId, zone, idempotent } = task.row
    const isCancelled = cancelling.has(jobId)
    // A non-idempotent job cannot be started elsewhere, so it stays until it ends.
    const mustLeave = configuration().zonesOut.has(zone) && idempotent
    if (!isCancelled && !mustLeave) return false
    if (!isCancelled) await client.checkpoint(taskId, token, clock.now() + callMs)
    await this.#endAs(task, await client.stop(taskId, token, clock.now() + callMs))
    return true
  }

  async #endAs(task: KnownTask, report: ReportedTask): Promise<void> {
    const { blame, sizes, poolSize } = this.#opts
    const { worker, team, kind } = task.row
    if (report.checkpoint !== undefined) task.checkpoint = report.checkpoint
    if (report.state === 'finished') {
      if (blame.finished(worker)) {
        this.#opts.onDecision?.({
          subject: { kind: 'worker', id: worker },
          rule: 'trial-succeeded',
          observed: { team, quarantined: blame.quarantined().length },
          action: 'reinstate',
        })
      }
      // The usage lags, so a short task may end before any was reported.
      if (report.usage.cpus > 0) sizes.observe(kind, { ...report.usage, runMs: report.runMs })
      await this.#end(task, 'finished')
      return
    }
    if (report.state === 'failed') {
      await this.#end(task, 'failed')
      if (blame.failed(worker, team, poolSize())) {
        this.#opts.onDecision?.({
          subject: { kind: 'worker', id: worker },
          rule: 'worker-failed-teams',
          observed: { team, quarantined: blame.quarantined().length },
          action: 'quarantine',
        })
      }
      return
    }
    const hasRun = report.started || task.row.state !== 'starting'
    await this.#end(task, hasRun ? 'stopped' : 'never-started')
  }

  async #end(task: KnownTask, end: TaskEnd): Promise<void> {
    const after = await this.#opts.rows.end(task.row, end, task.checkpoint)
    this.#opts.tasks.delete(task.row.taskId)
    if (after?.to !== 'parked') return
    this.#opts.onDecision?.({
      subject: { kind: 'job', id: task.row.jobId },
      rule: 'job-failed-racks',
      observed: { failedRacks: after.changes?.failedRacks },
      action: 'park',
    })
  }
}
