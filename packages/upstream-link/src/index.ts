export {
  createUpstreamClient,
  type HealthCheckResult,
  type UpstreamClient,
  type UpstreamClientOptions,
} from './upstream-client.js'
export { checkIntervalMs } from './periodic-checks.js'
export type { SendHooks, UpstreamResponse, UpstreamRequest } from './upstream-request.js'
