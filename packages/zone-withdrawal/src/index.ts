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
  mayEndLoans,
  openHosts,
  returnFractions,
  returnSettleMs,
  returnStepMs,
  type ReturnHealth,
  type ZoneReturn,
} from './zone-return.js'
export {
  mayStart,
  planWithdrawal,
  zoneOut,
  type WithdrawalOptions,
  type WithdrawalStep,
} from './plan-withdrawal.js'
