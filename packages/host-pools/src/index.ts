export { bufferSize, hostsForZoneLoss, type BufferOptions, type BufferSize } from './buffer-size.js'
export {
  budgetMargin,
  serviceBudgets,
  poolMargin,
  servingByZone,
  mapHosts,
  withHostDraining,
  type Fleet,
  type FleetHost,
  type HostState,
  type ServiceBudget,
} from './fleet.js'
export { computeMoveStep, type HostRow, type MoveResult, type MoveStep } from './move.js'
export {
  canDonate,
  updatePressure,
  planMoves,
  type MoveOptions,
  type PlannedMove,
  type PoolNeed,
  type PoolPressure,
  type PoolPressureOptions,
} from './plan-moves.js'
