export {
  toFleetConfiguration,
  findHomePool,
  type FleetConfigurationSource,
} from './fleet-configuration.js'
export { createFleetDuty, type FleetDuty } from './fleet-duty.js'
export type { FleetDecision, FleetDutyOptions } from './fleet-term.js'
export { FleetDutyLostError, FleetRowChangedError } from './fleet-rows.js'
export { createHostProbe, type HostHealth, type HostProbe, type ProbedHost } from './host-probe.js'
export {
  fleetHostsTable,
  fleetZonesTable,
  type FleetHostRow,
  type FleetZoneRow,
  type WaveOutcome,
} from './rows.js'
