export {
  placeDisplaced,
  type DisplacedOptions,
  type PlacedTask,
  type Placement,
  type RunningTask,
} from './place-displaced.js'
export {
  advanceReturn,
  beginReturn,
  isReturned,
  mayEndLoans,
  openHosts,
  returnParts,
  settleMs,
  stepMs,
  type ReturnHealth,
  type ZoneReturn,
} from './return.js'
export {
  mayStart,
  planWithdrawal,
  zoneOut,
  type WithdrawalOptions,
  type WithdrawalStep,
} from './withdraw.js'
