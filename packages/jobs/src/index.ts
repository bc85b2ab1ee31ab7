export type { CancelResult } from './cancel.js'
export {
  cancellingTable,
  jobKey,
  idempotencyKeysTable,
  storedJobsTable,
  storedJobStates,
  jobTransition,
  isTransitionAllowed,
  payloadsTable,
  queuedKey,
  queuedRange,
  queuedTable,
  type StoredJob,
  type RequestedResources,
  type StoredJobState,
  type QueuedJob,
} from './job.js'
export {
  createJobService,
  type AcceptOptions,
  type CancelOptions,
  type JobPage,
  type JobService,
  type JobServiceOptions,
} from './jobs.js'
export {
  createPoolSummaryCache,
  exceedsEveryWorker,
  poolSummariesTable,
  type PoolSummaryCache,
  type PoolSummary,
  type WorkerSize,
} from './pool-summary.js'
