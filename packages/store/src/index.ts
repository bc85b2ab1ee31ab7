export { createDutyLease } from './duty-lease.js'
export type { DutyLease, DutyLeaseOptions, HeldLease } from './duty-lease-api.js'
export type { DutyLeaseRow } from './duty-tables.js'
export { hasFenceCheckFailed } from './fence-check.js'
export {
  createGroupCommitter,
  type Committer,
  type GroupCommitter,
  type GroupCommitterOptions,
} from './group-committer.js'
export { createHttpObjectStore } from './http-object-store.js'
export { createHttpTableService, type HttpTableServiceOptions } from './http-table-service.js'
export { scanAll } from './scan-all.js'
export { StoreError } from './store-error.js'
export type {
  CallOptions,
  ChangedRow,
  ChangesOptions,
  Check,
  CommitResult,
  FollowableTableService,
  ObjectStore,
  Row,
  ScanOptions,
  TableService,
  TableSnapshot,
  Transaction,
  Write,
} from './table-service.js'
export { wait, type WaitingClock } from './wait.js'
export { followTable, type TableFollower, type TableFollowerOptions } from './follow-table.js'
export {
  maxTransactionBytes,
  maxTransactionEntries,
  transactionBytes,
  writeBytes,
} from './transaction-size.js'
