export type { CancelResult } from './cancel.js'
export {
  cancellingTable,
  jobKey,
  jobKeysTable,
  jobsTable,
  jobStates,
  jobTransition,
  isTransitionAllowed,
  payloadsTable,
  queuedKey,
  queuedRange,
  queuedTable,
  type Job,
  type JobRequest,
  type JobState,
  type QueuedJob,
} from './job.js'
export {
  createJobs,
  type AcceptOptions,
  type CancelOptions,
  type JobPage,
  type Jobs,
  type JobsOptions,
} from './jobs.js'
export {
  createPoolSummaryCache,
  exceedsAll,
  poolSummariesTable,
  type PoolSummaryCache,
  type PoolSummary,
  type WorkerSize,
} from './pool-summary.js'
