export { maxStoredBodyBytes, type Answer } from './answer.js'
export {
  createIdempotencyRecords,
  type RequestAttempt,
  type BeginResult,
  type EarlierAttempt,
  type IdempotencyOptions,
  type IdempotencyRecords,
} from './records.js'
export { retentionMs, sweepRecords, type SweepResult, type SweepOptions } from './sweep.js'
