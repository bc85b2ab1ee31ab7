export {
  createHostListClient,
  goneAfterMs,
  HostListError,
  type HostAction,
  type HostListClient,
  type OrderAnswer,
  type PlatformHost,
} from './host-list.js'
export {
  hostsTable,
  poolRange,
  taskKey,
  tasksTable,
  workerKey,
  type TaskRow,
  type TaskState,
  type WorkerRow,
  type WorkResources,
} from './rows.js'
export {
  createWorkerClient,
  WorkerError,
  type ReportedTask,
  type StartAnswer,
  type StartTask,
  type WorkerClient,
  type WorkerClock,
} from './worker-client.js'
