/**
 * What is learned from finished runs: how long tasks take, and which runners are slower than others.
 * Without a network and without a clock; the dispatcher passes the time and stores what was learned.
 */

export {
  learnedTable,
  maxRowBytes,
  rowSchema,
  runTimesPrefix,
  type LearnedRow,
  type RowProblem,
} from './learned-rows.js'
export {
  createRunTimeModel,
  maxFirstAgeMs,
  maxKeys,
  type ActiveRun,
  type FinishedRun,
  type RunTimeEstimate,
  type RunTimeModel,
} from './run-time-model.js'
export { runnerStateOf, type RunnerState, type RunProgress } from './runner-progress.js'
export { createRunnerSpeeds, type RunnerObservation, type RunnerSpeeds } from './runner-speeds.js'
export { type TaskKind } from './task-kind.js'
