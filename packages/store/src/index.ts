export { createHttpTableService, type HttpTableServiceOptions } from './http-table-service.js'
export { StoreError } from './store-error.js'
export type {
  CallOptions,
  Check,
  CommitResult,
  ObjectStore,
  Row,
  ScanOptions,
  TableService,
  Transaction,
  Write,
} from './table-service.js'
