export {
  createRunnerLinks,
  type RunnerHealth,
  type RunnerLinks,
  type RunnerLinksOptions,
} from './runner-links.js'
export { SWEEP_MS } from './sweeper.js'
export type { SendHooks, UpstreamAnswer, UpstreamRequest } from './upstream-request.js'
