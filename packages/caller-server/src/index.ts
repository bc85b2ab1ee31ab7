export { sendJson } from './json-response.js'
export {
  createCallerServer,
  listen,
  type CallerHandler,
  type CallerServer,
  type CallerServerOptions,
} from './caller-server.js'
export type { ClientLimits, LimitCause } from './client-limits.js'
export {
  limitConnections,
  type ConnectionLimiter,
  type LimiterOptions,
} from './connection-limiter.js'
export { connectionSignal } from './connection-signal.js'
export { createUsageCounter, type UsageCounter } from './usage-counter.js'
export { bufferedBodyBytes, readBody, type ReadBodyOptions } from './request-body.js'
