export { chooseRelays, type RelayChoiceInput } from './choose-relays.js'
export { createPauseDetector, type PauseDetector } from './pause-detector.js'
export {
  createRelayedRunners,
  type RelayedRunners,
  type RelayedRunnersOptions,
  type RunnerTarget,
} from './relayed-runners.js'
export { createRelayServer, type RelayServer, type RelayServerOptions } from './relay-server.js'
export {
  announceRelay,
  followRelays,
  relaysTable,
  type RelayAnnouncement,
  type RelayAnnouncer,
  type RelayDirectory,
} from './relay-directory.js'
export type { RelayLimitCause } from './relay-usage.js'
