export {
  createHostListClient,
  hostUnlistedAfterMs,
  HostListError,
  type HostAction,
  type HostListClient,
  type HostOrderResult,
  type PlatformHost,
} from './host-list.js'
export {
  hostsTable,
  poolKeyRange,
  taskKey,
  tasksTable,
  workerKey,
  type TaskRow,
  type TaskRowState,
  type WorkerRow,
  type ResourceAmounts,
} from './rows.js'
export {
  createWorkerClient,
  WorkerError,
  type ReportedTask,
  type StartTaskResult,
  type StartTaskRequest,
  type WorkerClient,
  type WorkerClock,
} from './worker-client.js'
