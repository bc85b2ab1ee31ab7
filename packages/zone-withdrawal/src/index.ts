export {
  placeDisplacedTasks,
  type DisplacedTasksOptions,
  type PlacedTask,
  type DisplacedTasksPlacement,
  type RunningTask,
} from './place-displaced.js'
export {
  advanceReturn,
  beginReturn,
  isReturned,
  canEndLoans,
  selectOpenHosts,
  returnFractions,
  returnSettleMs,
  returnStepMs,
  type ReturnHealth,
  type ZoneReturn,
} from './zone-return.js'
export {
  canStartOnHost,
  planWithdrawal,
  withZoneOut,
  type WithdrawalOptions,
  type WithdrawalStep,
} from './plan-withdrawal.js'
