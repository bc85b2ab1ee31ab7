export {
  maxPermitsOf,
  holderId,
  ledgerTable,
  tasksHolder,
  countUnallocated,
  type LedgerEntry,
  type LedgerRow,
} from './ledger.js'
export {
  createPermitReclaimer,
  type PermitReclaimer,
  type PermitReclaimerOptions,
} from './reclaimer.js'
export { createTaskPermits, type TaskPermitEntries, type TaskPermits } from './task-permits.js'
export { createTaskDemandWriter, type TaskDemandWriter } from './task-demand.js'
export { createTeamPermits, type TeamPermitsOptions } from './team-permits.js'
export type {
  BorrowAnswer,
  BorrowCall,
  MemberRef,
  PeerPermits,
  Permit,
  PermitConfiguration,
  PermitHandlers,
  TeamPermits,
  TeamPermitStatus,
} from './types.js'
