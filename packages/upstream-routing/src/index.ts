export type {
  AttemptTrace,
  DispatchOptions,
  DispatchTimers,
  ExtraPermit,
} from './dispatch-options.js'
export { dispatch, type DispatchResult } from './dispatch.js'
export type { AttemptResult } from './outlier-detector.js'
export { bufferBody, maxReplayBytes } from './request-body.js'
export { createRetryBudget, type RetryBudget, type RetryBudgetOptions } from './retry-budget.js'
export { createRouter } from './router.js'
export {
  computeRunnerQuotas,
  maxRequestsPerRunner,
  type RunnerQuotasOptions,
} from './runner-quotas.js'
export type {
  Reservation,
  ReserveOptions,
  Router,
  RouterOptions,
  RoutingDecision,
} from './types.js'
