export {
  assessJobFailure,
  createWorkerFailureTracker,
  type WorkerFailureTracker,
} from './worker-failure-tracker.js'
export { choosePlacements, type JobPlacement, type PlacementInput } from './choose-placements.js'
export { createLearnedSizes, type LearnedSizes, type ObservedJob } from './learned-sizes.js'
export {
  createPlacementDuty,
  type PlacementConfiguration,
  type PlacementDuty,
  type PlacementDutyOptions,
} from './placement-duty.js'
export { taskLeaseMs } from './task-starter.js'
export { jobAfterTask, type JobAfterTask, type TaskEnd } from './task-end.js'
export type { PlacementDecision } from './worker-reconciler.js'
