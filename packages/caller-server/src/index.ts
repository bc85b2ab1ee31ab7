export { sendError, sendJson } from './json-response.js'
export {
  createCallerServer,
  lacksHost,
  listen,
  type CallerHandler,
  type CallerServer,
  type CallerServerOptions,
} from './caller-server.js'
export { createBodyUsage, type BodyBounds, type BodyShare, type BodyUsage } from './body-usage.js'
export { createCachedValue } from './cached-value.js'
export {
  callerLimits,
  clientLimitSettings,
  internalLimits,
  readDescriptorLimit,
  requestTimeoutSetting,
  type ClientLimitSettings,
} from './client-limit-settings.js'
export type { ClientLimits, LimitCause } from './client-limits.js'
export { parseJsonBody } from './json-body.js'
export { createClientLogLimit, type ClientLogLimit } from './client-log-limit.js'
export { createLimitReports, type ClientPort, type LimitReports } from './limit-reports.js'
export {
  limitConnections,
  type ConnectionLimiter,
  type LimiterOptions,
} from './connection-limiter.js'
export { connectionSignal } from './connection-signal.js'
export { createUsageCounter, type UsageCounter } from './usage-counter.js'
export { bufferedBodyBytes, readBody, type ReadBodyOptions } from './request-body.js'
