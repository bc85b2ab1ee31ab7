export type {
  AttemptTrace,
  DispatchOptions,
  DispatchTimers,
  ExtraPermit,
} from './dispatch-options.js'
export { dispatch, type Dispatched } from './dispatch.js'
export type { AttemptResult } from './ejections.js'
export { bufferBody, replayBytes } from './request-body.js'
export { createRetryBudget, type RetryBudget, type RetryBudgetOptions } from './retry-budget.js'
export { createRouter } from './router.js'
export { divideRunners, requestsPerRunner, type DivideRunnersOptions } from './runner-parts.js'
export type {
  Reservation,
  ReserveOptions,
  Router,
  RouterOptions,
  RoutingDecision,
} from './types.js'
