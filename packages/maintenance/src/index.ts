export { drainDeadline, isDrained, type WorkInProgress } from './drain.js'
export { checkDrain, type DrainCheck, type DrainRefusal } from './check-drain.js'
export {
  dayMs,
  defaultPeriodMs,
  marginsByPool,
  maintenanceDeadline,
  planWave,
  type MaintenanceWave,
  type MaintenanceWaveOptions,
} from './plan-wave.js'
export { poolAfterMaintenance, type PoolAfterMaintenanceOptions } from './pool-after-maintenance.js'
export { reviewWave, type HaltReason, type WaveHost, type WaveReview } from './review-wave.js'
