export { expectedDrainEnd, isDrained, type WorkInProgress } from './drain.js'
export { checkDrain, type DrainCheck, type DrainRefusal } from './check-drain.js'
export {
  dayMs,
  defaultPeriodMs,
  marginsByPool,
  maintenanceDeadline,
  planMaintenanceWave,
  type MaintenanceWave,
  type MaintenanceWaveOptions,
} from './plan-wave.js'
export {
  choosePoolAfterMaintenance,
  type PoolAfterMaintenanceOptions,
} from './pool-after-maintenance.js'
export {
  reviewMaintenanceWave,
  type HaltReason,
  type WaveHost,
  type WaveReview,
} from './review-wave.js'
