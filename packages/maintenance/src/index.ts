export { drainDeadline, isDrained, type WorkInProgress } from './drain.js'
export { mayLeave, type LeaveAnswer, type StayReason } from './may-leave.js'
export {
  dayMs,
  defaultPeriodMs,
  freeMargins,
  maintenanceDeadline,
  planWave,
  type Wave,
  type WaveOptions,
} from './plan-wave.js'
export { poolAfterMaintenance, type ReturnPoolOptions } from './pool-after-maintenance.js'
export { reviewWave, type HaltReason, type WaveHost, type WaveReview } from './review-wave.js'
