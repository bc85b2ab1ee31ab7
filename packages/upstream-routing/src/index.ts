export { dispatch, type AttemptTrace, type DispatchOptions, type Dispatched } from './dispatch.js'
export { bufferBody, replayBytes } from './request-body.js'
export { divideRunners, requestsPerRunner, type DivideRunnersOptions } from './runner-parts.js'
export { createRetryBudget, type RetryBudget, type RetryBudgetOptions } from './retry-budget.js'
export {
  createRouter,
  type AttemptResult,
  type Reservation,
  type Router,
  type RouterOptions,
  type RoutingDecision,
} from './router.js'
