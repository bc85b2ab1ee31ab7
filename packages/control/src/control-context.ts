import type { DecisionLog } from '@bulrushbridge/decision-log'
import type { ObjectStore, TableService, WaitingClock } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'
import type { ConfigurationFollower } from './configuration-follower.js'
import type { ControlSettings } from './settings.js'

/** Settings, clients and services that the duties of a control program share. */
export interface ControlContext {
  cfg: ControlSettings
  clock: WaitingClock
  log: Logger
  table: TableService
  objects: ObjectStore
  decisions: DecisionLog
  /** Committed configuration of the environment. */
  follower: ConfigurationFollower
}
