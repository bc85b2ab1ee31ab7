export { maxBodyBytes, type Answer } from './answer.js'
export {
  createIdempotencyRecords,
  type BeginOptions,
  type Begun,
  type Earlier,
  type IdempotencyOptions,
  type IdempotencyRecords,
} from './records.js'
export { retentionMs, sweep, type Swept, type SweepOptions } from './sweep.js'
