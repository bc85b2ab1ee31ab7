export { addAmounts, largestFraction, noAmounts, timesFitting, type Amounts } from './amounts.js'
export { choosePace, type PaceState, type ServedTail } from './choose-pace.js'
export {
  chooseStarts,
  reservedAmounts,
  stepName,
  type ChoiceState,
  type OpenRunner,
  type Start,
} from './choose-starts.js'
export {
  findQueue,
  type AdviceTerms,
  type Configuration,
  type Organisation,
  type Pool,
  type Queue,
} from './configuration.js'
export {
  isFinal,
  jobSchema,
  jobStatuses,
  longestChainMs,
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
} from './job-state.js'
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
  type PoolMoveState,
} from './plan-pool-moves.js'
export { planWave, type WaveMachine, type WavePlan, type WaveState } from './plan-wave.js'
export { progressSchema, type Progress, type TaskProgress } from './progress.js'
export { createRunTimes, type RunTimes } from './run-times.js'
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
  type ListedRun,
  type Machine,
  type RunEnd,
  type RunnerEntry,
  type RunnerReport,
  type Wave,
} from './runner.js'
export { createRunnerHealth, type RunnerHealth } from './runner-health.js'
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
export { compareUrgency, objectiveMs, urgencyOf, type Urgency } from './urgency.js'
export { sumWaitingWork, type WaitingWorkState } from './waiting-work.js'
