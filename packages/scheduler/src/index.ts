/**
 * Data types of jobs, runners and machines, and the decisions of the dispatcher as pure functions:
 * which tasks start where, and which machines move or have their upkeep. The dispatcher does the
 * input and output: it reads the rows, stores the decisions and sends the orders.
 */

export { addAmounts, largestFraction, noAmounts, countFitting, type Amounts } from './amounts.js'
export { choosePace, type PaceState, type ServedTail } from './choose-filler-pace.js'
export {
  chooseStarts,
  reservedAmounts,
  stepName,
  type StartChoiceInput,
  type OpenRunner,
  type TaskStart,
} from './choose-starts.js'
export {
  findQueue,
  type AdviceTerms,
  type Configuration,
  type Organisation,
  type RunnerPool,
  type Queue,
} from './configuration.js'
export {
  isFinal,
  jobSchema,
  jobStatuses,
  criticalPathMs,
  type Job,
  type JobRequest,
  type JobStatus,
  type Schedule,
  type Step,
} from './job.js'
export {
  JobState,
  parseTaskName,
  type Occurrence,
  type StepState,
  type Task,
  type TaskName,
  type TaskRun,
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
  planWave,
  type WaveMachine,
  type UpkeepWavePlan,
  type UpkeepWaveInput,
} from './plan-upkeep-wave.js'
export { progressSchema, type Progress, type TaskProgress } from './progress.js'
export { createRunTimes, type RunTimes } from './run-time-estimator.js'
export type {
  AdviceApi,
  AdvisedRunner,
  CallResult,
  HoldAnswer,
  HoldOrder,
  MachineAnswer,
  MachineApi,
  MachineOrder,
  OrderAnswer,
  OrderRefusal,
  RunId,
  RunnerApi,
  StartOrder,
} from './runner-api.js'
export {
  runEnds,
  type ListedEnd,
  type ReportedRun,
  type Machine,
  type RunEnd,
  type RunnerEntry,
  type RunnerReport,
  type Wave,
} from './runner.js'
export { createRunnerHealth, type RunnerHealth } from './runner-failure-tracker.js'
export { isStalled, type ObservedRun } from './stalled-runs.js'
export {
  cancelSuffix,
  headsTable,
  jobsTable,
  partCount,
  partOf,
  parts,
  progressTable,
  waitingKey,
  waitingTable,
} from './tables.js'
export { compareUrgency, latencyObjectiveMs, urgencyOf, type Urgency } from './urgency.js'
export { sumWaitingWork, type WaitingWorkInput } from './waiting-work.js'
