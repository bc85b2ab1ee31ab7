/**
 * Data types of jobs, runners and machines, and the decisions of the dispatcher as pure functions:
 * which tasks start where, and which machines move or have their upkeep. The dispatcher does the
 * input and output: it reads the rows, stores the decisions and sends the orders.
 */

export { addAmounts, largestFraction, noAmounts, countFitting, type Amounts } from './amounts.js'
export { chooseFillerPace, type FillerPace, type ServingLatency } from './choose-filler-pace.js'
export {
  chooseStarts,
  maxUnconfirmedRuns,
  reservedAmounts,
  type StartChoiceInput,
  type AvailableRunner,
  type TaskStart,
} from './choose-starts.js'
export {
  findQueue,
  type AdviceTerms,
  type SchedulerConfiguration,
  type Organisation,
  type RunnerPool,
  type JobQueue,
} from './configuration.js'
export {
  chunkCountOf,
  encodeDefinition,
  joinDefinition,
  maxDefinitionBytes,
  type DefinitionRow,
} from './job-definition-rows.js'
export {
  createDemandForecast,
  demandForecastSchema,
  type AcceptedWork,
  type DemandForecast,
  type DemandForecastState,
} from './demand-forecast.js'
export { JobLimitError } from './job-limit-error.js'
export {
  hasEnded,
  jobSchema,
  jobStatuses,
  maxStepTasks,
  criticalPathMs,
  type JobDefinition,
  type JobSubmission,
  type JobStatus,
  type Schedule,
  type Step,
} from './job.js'
export {
  JobExecution,
  type JobState,
  type Occurrence,
  type StepExecution,
  type StoredBlock,
} from './job-execution.js'
export {
  createOperatorView,
  type KnownWave,
  type OperatorDecoders,
  type OperatorRow,
  type OperatorView,
  type OperatorViewOptions,
} from './operator-view.js'
export {
  planPoolMoves,
  type MovableMachine,
  type PoolLoad,
  type PoolMove,
  type PoolMoveInput,
} from './plan-pool-moves.js'
export {
  planUpkeepWave,
  type WaveMachine,
  type UpkeepWavePlan,
  type UpkeepWaveInput,
} from './plan-upkeep-wave.js'
export {
  boundLoadView,
  decodeLoadView,
  loadKey,
  loadTable,
  maxLoadBytes,
  objectiveLimitFactor,
  publishedEstimateMs,
  sumQueueLoads,
  type LoadView,
  type PoolCores,
  type QueueLoad,
  type QueueLoadInput,
  type QueueLoads,
} from './queue-load.js'
export { noQueue, progressSchema, type Progress, type TaskProgress } from './progress.js'
export {
  canBeSuspect,
  maxCrashes,
  mustRunAlone,
  suspicionOf,
  trustedRunMs,
} from './crash-suspects.js'
export {
  createGuaranteedWork,
  maxExcessMs,
  type AcceptedJob,
  type GuaranteedWork,
} from './guaranteed-work.js'
export {
  createRunTimeEstimator,
  expectedMsOf,
  taskKindOf,
  type RunTimeEstimator,
  type RunTimeSource,
} from './run-time-estimator.js'
export {
  orderRefusals,
  type AdviceApi,
  type AdvisedRunner,
  type CallResult,
  type PollAnswer,
  type PollRequest,
  type MachineAnswer,
  type MachineApi,
  type MachineOrder,
  type RunnerOrderAnswer,
  type OrderRefusal,
  type RunId,
  type RunnerApi,
  type StartOrder,
} from './runner-api.js'
export {
  runEnds,
  type ReportedEnd,
  type ReportedRun,
  type Machine,
  type RunEnd,
  type RunnerEntry,
  type RunnerReport,
  type UpkeepWave,
} from './runner.js'
export { isAllowedOn } from './runner-constraints.js'
export { slownessOf } from './runner-slowness.js'
export { fencesPerTerm, isOfEarlierTerm, runnerFence } from './runner-fence.js'
export { createRunnerFailureTracker, type RunnerFailureTracker } from './runner-failure-tracker.js'
export { isSocketAddress } from './socket-address.js'
export { isStalled, type ObservedRun } from './stalled-runs.js'
export {
  cancelSuffix,
  partHeadsTable,
  acceptedJobsTable,
  partCount,
  partOf,
  partNames,
  progressTable,
  queuedJobKey,
  queuedJobPrefix,
  queuedJobsTable,
  definitionChunksTable,
  taskBlocksTable,
} from './tables.js'
export { type StepTasks } from './step-tasks.js'
export { parseTaskName, type Task, type TaskName, type TaskRun } from './task.js'
export { compareUrgency, latencyObjectiveMs, urgencyOf, type Urgency } from './urgency.js'
export {
  createWeightedShares,
  type PoolShare,
  type QueueUsage,
  type WeightedShares,
  type WeightedSharesInput,
} from './weighted-shares.js'
export { sumWaitingWork, type WaitingWorkInput } from './waiting-work.js'
