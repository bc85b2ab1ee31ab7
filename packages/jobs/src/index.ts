export type { Cancelled } from './cancel.js'
export {
  cancellingTable,
  jobKey,
  jobKeysTable,
  jobsTable,
  jobStates,
  jobTransition,
  mayBecome,
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
  createPoolSummaries,
  exceedsAll,
  poolSummariesTable,
  type PoolSummaries,
  type PoolSummary,
  type WorkerSize,
} from './pool-summary.js'
