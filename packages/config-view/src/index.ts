export { createConfigView } from './config-view.js'
export { Confirmation } from './confirmation.js'
export type { LoadState } from './exchange-schedule.js'
export type { Head } from './head.js'
export type {
  Announcement,
  ChangeMessage,
  ConfigReport,
  FetchedChanges,
  PeerAddress,
  PeerConfigCalls,
  RestrictionMessage,
} from './peer-config-calls.js'
export type { ProposeOptions } from './propose.js'
export type { RestrictOptions } from './restrict.js'
export {
  isRestrictive,
  type ProvisionalRestriction,
  type RestrictiveChange,
} from './restrictions.js'
export { systemTimers, type ViewTimers } from './timing.js'
export { StoreReader } from './store-reader.js'
export type { ChangeResult, ConfigView, ConfigViewOptions } from './types.js'
