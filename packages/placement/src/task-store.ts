import {
  hostsTable,
  poolKeyRange,
  taskKey,
  tasksTable,
  workerKey,
  type TaskRow,
  type WorkerRow,
} from '@bulrushbridge/host'
import { storedJobsTable, jobTransition, type StoredJob } from '@bulrushbridge/jobs'
import {
  hasFenceCheckFailed,
  scanAll,
  type Check,
  type HeldLease,
  type Row,
  type TableService,
  type Transaction,
  type Write,
} from '@bulrushbridge/store'
import type { TaskPermits } from '@bulrushbridge/team-limit'
import { jobAfterTask, type EndedRun, type JobAfterTask, type TaskEnd } from './task-end.js'

/** Attempts of a transaction whose rows keep changing: entry hosts also write the ledger row. */
const maxAttempts = 8

/** Options of {@link TaskStore}. */
export interface TaskStoreOptions {
  table: TableService
  permits: TaskPermits
  pool: string
  held(): HeldLease | undefined
}

/** The lease of the duty has ended, so this holder must not change any row. */
export class DutyLostError extends Error {
  override readonly name = 'DutyLostError'
}

/**
 * Transactions of a placement duty on tasks, jobs and permits. Each checks the fence of the duty.
 */
export class TaskStore {
  readonly #opts: TaskStoreOptions

  constructor(opts: TaskStoreOptions) {
    this.#opts = opts
  }

  /** Reads all tasks of the pool. */
  async loadTasks(): Promise<TaskRow[]> {
    const rows = await scanAll<TaskRow>(this.#opts.table, tasksTable, poolKeyRange(this.#opts.pool))
    return rows.map(({ value }) => value)
  }

  /**
   * Claims queued jobs of one team: one transaction updates the jobs, inserts their tasks and
   * reserves permits of the team. It checks the versions of the workers' rows, so that no task is
   * claimed on a worker that has left the pool or drains. Returns the claimed tasks; the others
   * have lost their worker, have a job that is no longer queued, or exceed the limit of the team.
   */
  async claim(team: string, tasks: readonly TaskRow[]): Promise<TaskRow[]> {
    let claimable = [...tasks]
    for (let attempt = 0; attempt < maxAttempts && claimable.length > 0; attempt++) {
      const workers = await this.#readWorkerChecks(claimable)
      claimable = claimable.filter(({ worker }) => workers.has(worker))
      const jobs = await Promise.all(claimable.map(task => this.#readJob(task.jobKey)))
      claimable = claimable.filter((_, index) => jobs[index]?.value.state === 'queued')
      const jobRows = jobs.filter(row => row?.value.state === 'queued')
      if (claimable.length === 0) return []
      const permits = await this.#opts.permits.reserveForTask(team, claimable.length)
      if (permits === undefined) {
        // Retries with half of the tasks until the limit admits them.
        claimable = claimable.slice(0, Math.floor(claimable.length / 2))
        continue
      }
      const usedWorkers = new Set(claimable.map(({ worker }) => worker))
      const presentWorkers = [...workers.values()].filter(({ id }) => usedWorkers.has(id))
      const tx: Transaction = {
        checks: [...permits.checks, ...presentWorkers.map(({ check }) => check)],
        writes: [...permits.writes],
      }
      claimable.forEach((task, index) => {
        const row = jobRows[index]
        if (row === undefined) return
        const { checks, writes } = jobTransition(row, 'starting')
        const key = taskKey(task)
        tx.checks.push(...checks, { table: tasksTable, key, version: 0 })
        tx.writes.push(...writes, { table: tasksTable, key, value: task })
      })
      if (await this.#commit(tx)) return claimable
    }
    return []
  }

  /** Records that the worker runs the task. */
  async markRunning(task: TaskRow): Promise<void> {
    await this.#updateTask(task, job => {
      const value: TaskRow = { ...task, state: 'running' }
      const write = { table: tasksTable, key: taskKey(task), value }
      if (job?.value.state !== 'starting') return { checks: [], writes: [write] }
      const { checks, writes } = jobTransition(job, 'running')
      return { checks, writes: [...writes, write] }
    })
  }

  /** Clears a job of the workers that were lost under it. */
  async clearWorkerLosses(task: TaskRow): Promise<void> {
    await this.#updateTask(task, job => {
      const write = { table: tasksTable, key: taskKey(task), value: { ...task, workerLosses: 0 } }
      if (job === undefined) return { checks: [], writes: [write] }
      const { key, version, value } = job
      const jobWrite = { table: storedJobsTable, key, value: { ...value, workerLosses: 0 } }
      return { checks: [{ table: storedJobsTable, key, version }], writes: [write, jobWrite] }
    })
  }

  /**
   * Deletes an ended task, updates its job and returns the team's permit. Returns undefined when
   * the row is already deleted, because an earlier transaction took effect although its answer was
   * lost.
   */
  async endTask(
    task: TaskRow,
    end: TaskEnd,
    run: EndedRun = {},
  ): Promise<JobAfterTask | undefined> {
    let jobAfter: JobAfterTask | undefined
    const wasPresent = await this.#updateTask(task, async job => {
      const permits = await this.#opts.permits.releaseForTask(task.team, 1)
      const tx: Transaction = { checks: [...permits.checks], writes: [...permits.writes] }
      tx.writes.push({ table: tasksTable, key: taskKey(task), value: null })
      if (job === undefined) return tx
      jobAfter = jobAfterTask(job.value, end, { ...run, rack: task.rack })
      const { checks, writes } = jobTransition(
        job,
        jobAfter.nextState,
        jobAfter.reason,
        jobAfter.changes,
      )
      return { checks: [...tx.checks, ...checks], writes: [...tx.writes, ...writes] }
    })
    return wasPresent ? jobAfter : undefined
  }

  /** Parks a queued job that no worker can run. */
  async parkJob(jobKey: string, reason: string): Promise<void> {
    const job = await this.#readJob(jobKey)
    if (job?.value.state === 'queued') await this.#commit(jobTransition(job, 'parked', reason))
  }

  /** Writes a row that no other process writes while this duty is held. */
  async writeRow(write: Write): Promise<void> {
    await this.#commit({ checks: [], writes: [write] })
  }

  /** Commits a transaction on a task and its job; returns false when the task has no row. */
  async #updateTask(
    task: TaskRow,
    jobTransaction: (job: Row<StoredJob> | undefined) => Transaction | Promise<Transaction>,
  ): Promise<boolean> {
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const key = taskKey(task)
      const row = await this.#opts.table.read<TaskRow>(tasksTable, key)
      if (row === undefined) return false
      const { checks, writes } = await jobTransaction(await this.#readJob(task.jobKey))
      const check = { table: tasksTable, key, version: row.version }
      if (await this.#commit({ checks: [...checks, check], writes })) return true
    }
    throw new Error(`the rows of task ${task.taskId} changed ${maxAttempts} times`)
  }

  /** Version checks of the rows of the tasks' workers. A worker without a row has left the pool. */
  async #readWorkerChecks(
    tasks: readonly TaskRow[],
  ): Promise<Map<string, { id: string; check: Check }>> {
    const checks = new Map<string, { id: string; check: Check }>()
    for (const id of new Set(tasks.map(({ worker }) => worker))) {
      const key = workerKey(this.#opts.pool, id)
      const row = await this.#opts.table.read<WorkerRow>(hostsTable, key)
      if (row === undefined) continue
      checks.set(id, { id, check: { table: hostsTable, key, version: row.version } })
    }
    return checks
  }

  #readJob(key: string): Promise<Row<StoredJob> | undefined> {
    return this.#opts.table.read<StoredJob>(storedJobsTable, key)
  }

  async #commit(tx: Transaction): Promise<boolean> {
    const fence = this.#opts.held()?.check
    if (fence === undefined) throw new DutyLostError('the placement duty is not held')
    const result = await this.#opts.table.commit({ ...tx, checks: [...tx.checks, fence] })
    if (result.committed) return true
    if (hasFenceCheckFailed(result, fence))
      throw new DutyLostError('the placement duty was taken over')
    return false
  }
}
