export {
  createRunnerLinks,
  type RunnerHealth,
  type RunnerLinks,
  type RunnerLinksOptions,
} from './runner-links.js'
export { sweepMs } from './sweeper.js'
export type { SendHooks, UpstreamAnswer, UpstreamRequest } from './upstream-request.js'
