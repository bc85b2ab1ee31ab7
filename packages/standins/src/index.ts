export type { Counters, ListenOptions, Standin } from './fault-server.js'
export { seededRandom, type Faults, type ResponseLossSetting } from './faults.js'
export {
  createHostListStandin,
  type HostListOptions,
  type HostListStandin,
  type ListedHost,
} from './host-list.js'
export { SimulatedHosts, noHostFaults, type HostFaults } from './simulated-hosts.js'
export { createManualClock, waitUntil, type ManualClock } from './manual-clock.js'
export { createObjectStandin } from './object.js'
export { createTableStandin } from './table.js'
export {
  createRunnerStandin,
  noRunnerFaults,
  runnerCommand,
  type RunnerFaults,
  type RunnerOptions,
  type RunnerStandin,
  type RunnerStart,
  type RunnerStats,
} from './runner.js'
export {
  createWorkerStandin,
  workerCommand,
  type WorkerFaults,
  type WorkerOptions,
  type WorkerStandin,
} from './worker.js'
export type { TaskRequest, WorkerTaskState, WorkerResources, WorkerTask } from './worker-tasks.js'
export { createMemoryRunner, type MemoryRunner, type RunnerFault } from './memory-runner.js'
export { createMemoryStore, type MemoryStore, type StoreFault } from './memory-store.js'
