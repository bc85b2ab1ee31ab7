export { bufferSize, hostsForZoneLoss, type BufferOptions, type BufferSize } from './buffer-size.js'
export {
  budgetMargin,
  budgetsOf,
  poolMargin,
  servingByZone,
  withHosts,
  withoutHost,
  type Fleet,
  type FleetHost,
  type HostState,
  type ServiceBudget,
} from './fleet.js'
export { moveHost, type HostRow, type MoveResult, type MoveStep } from './move.js'
export {
  canDonate,
  observePressure,
  planMoves,
  type MoveOptions,
  type PlannedMove,
  type PoolNeed,
  type PoolPressure,
  type PoolPressureOptions,
} from './plan-moves.js'
