import type { PoolPressure } from '../packages/host-pools/src/index.js'
import type { ZoneReturn } from '../packages/zone-withdrawal/src/index.js'
import type { FleetSetup } from './policy-fleet.js'
import type { FleetState } from './policy-state.js'
import type { Policy } from './policy-types.js'

/** Milliseconds in a minute. */
export const minuteMs = 60_000

/** Milliseconds in an hour. */
export const hourMs = 60 * minuteMs

/** Time that a moved host does not serve while it drains and starts. */
export const moveCostMs = 4 * minuteMs

/** Time from the withdrawal of the zone to the start of its return. */
export const outageMs = 60 * minuteMs

/** Time after the start of the return for which work is still counted. */
export const workWindowAfterReturnMs = 15 * minuteMs

/** Time for which requests fail in a zone that is unhealthy when its return starts. */
const unhealthyMs = 2 * minuteMs

/** State shared by the parts of one run. Times are simulated and start at 0. */
export interface PolicyContext {
  readonly setup: FleetSetup
  readonly policy: Policy
  readonly state: FleetState
  readonly rng: () => number
  /** Zone that is withdrawn. */
  readonly zone: string
  /** Whether requests fail in the zone at the start of its return. */
  readonly isUnhealthyAtFirst: boolean
  /** Moving average of the hosts in use, by pool. */
  readonly learnedDemand: Map<string, number>
  /** Accumulated shortage or surplus of hosts, by pool. */
  pressure: ReadonlyMap<string, PoolPressure>
  /** Length of the maintenance round; 0 while the round runs. */
  rolloutMs: number
  /** Time at which the zone is withdrawn; infinite while the maintenance round runs. */
  withdrawAt: number
  /** Progress of the return of the zone; undefined before it starts. */
  zoneReturn: ZoneReturn | undefined
  /** Work done from the withdrawal on, less the work lost at the withdrawal. */
  workHostHours: number
}

/** Whether requests fail in the returning zone at `now`. */
export function isReturnUnhealthy(
  { isUnhealthyAtFirst, zoneReturn, withdrawAt }: PolicyContext,
  now: number,
): boolean {
  return zoneReturn !== undefined && isUnhealthyAtFirst && now < withdrawAt + outageMs + unhealthyMs
}
