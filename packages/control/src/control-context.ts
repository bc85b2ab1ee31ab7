import type { DecisionLog } from '@bulrushbridge/decision-log'
import type { ObjectStore, TableService, WaitingClock } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'
import type { ConfigurationFollower } from './configuration-follower.js'
import type { ControlSettings } from './settings.js'

/** What all duties of a control program share. */
export interface ControlContext {
  cfg: ControlSettings
  clock: WaitingClock
  log: Logger
  table: TableService
  objects: ObjectStore
  decisions: DecisionLog
  follower: ConfigurationFollower
}
