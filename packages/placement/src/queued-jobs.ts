import {
  cancellingTable,
  exceedsEveryWorker,
  jobKey,
  queuedRange,
  queuedTable,
  type QueuedJob,
} from '@bulrushbridge/jobs'
import type { TableService } from '@bulrushbridge/store'
import type { LearnedSizes } from './learned-sizes.js'
import type { PoolSummaryRow } from './pool-summary-row.js'
import type { TaskStore } from './task-store.js'
import type { PlacementDecision } from './worker-reconciler.js'

/** Maximum number of queued jobs that one round reads from each queue. */
const maxJobsPerQueue = 200

/** Options of {@link QueuedJobs}. */
export interface QueuedJobsOptions {
  table: TableService
  taskStore: TaskStore
  sizes: LearnedSizes
  poolSummaryRow: PoolSummaryRow
  onDecision?(decision: PlacementDecision): void
}

/** Reads the queued jobs of a pool, and parks jobs that no worker can run. */
export class QueuedJobs {
  readonly #opts: QueuedJobsOptions

  constructor(opts: QueuedJobsOptions) {
    this.#opts = opts
  }

  /** Reads the first jobs of each queue; returns those that a worker of the pool can run. */
  async readRunnable(queues: readonly string[]): Promise<QueuedJob[]> {
    const runnable: QueuedJob[] = []
    for (const queue of queues) {
      const range = { ...queuedRange(queue), limit: maxJobsPerQueue }
      const rows = await this.#opts.table.scan<QueuedJob>(queuedTable, range)
      for (const { value: job } of rows) {
        const reason = this.#reasonNeverRunnable(job)
        if (reason === undefined) runnable.push(job)
        else await this.#park(job, reason)
      }
    }
    return runnable
  }

  /** Reads the ids of the jobs that are being cancelled. */
  async readCancellingIds(queues: readonly string[]): Promise<Set<string>> {
    const ids = new Set<string>()
    for (const queue of queues) {
      const rows = await this.#opts.table.scan<unknown>(cancellingTable, queuedRange(queue))
      for (const { key } of rows) ids.add(key.slice(key.indexOf('/') + 1))
    }
    return ids
  }

  /**
   * The reason why no worker can run the job, or undefined. Learned sizes count without their
   * margin, because the margin alone must not park a job.
   */
  #reasonNeverRunnable(job: QueuedJob): string | undefined {
    const largest = this.#opts.poolSummaryRow.largestSizes()
    if (exceedsEveryWorker(job.request, largest)) return 'it is larger than any worker of the pool'
    const meanUsage = this.#opts.sizes.meanUsage(job.kind)
    const { accelerators } = job.request
    if (meanUsage === undefined || !exceedsEveryWorker({ ...meanUsage, accelerators }, largest))
      return undefined
    return `jobs of the kind ${job.kind} use more than any worker of the pool has`
  }

  async #park(job: QueuedJob, reason: string): Promise<void> {
    await this.#opts.taskStore.parkJob(jobKey(job.team, job.id), reason)
    this.#opts.onDecision?.({
      subject: { kind: 'job', id: job.id },
      rule: 'job-never-fits',
      observed: { ...job.request, reason },
      action: 'park',
    })
  }
}
