export {
  createRunnerLinks,
  type HealthCheckResult,
  type RunnerLinks,
  type UpstreamClientOptions,
} from './upstream-client.js'
export { checkIntervalMs } from './periodic-checks.js'
export type { SendHooks, UpstreamAnswer, UpstreamRequest } from './upstream-request.js'
