import type { Division } from './policy-service.js'
import type { Violations } from './policy-state.js'

/** Configuration of a fleet policy, which decides on maintenance, moves and withdrawals. */
export interface Policy {
  /**
   * Whether a host that returns from maintenance may join another pool, which then can drain one of
   * its own hosts.
   */
  canChangePool: boolean
  /** `moveGain` of `choosePoolAfterMaintenance`, which has a default when this is absent. */
  moveGain?: number
  /** Whether pools that are short of hosts borrow them, mainly from the spare pools. */
  canLendHosts: boolean
  /** Upper limit of hosts in maintenance at once; unlimited when absent. */
  maxHosts?: number
  /**
   * Whether a host is drained for maintenance only if its pool still meets its availability budget
   * when the zone with most of its hosts fails.
   */
  isBudgetKept: boolean
  /**
   * Hosts that each pool keeps idle: the size that `bufferSize` calculates, or as many hosts as one
   * zone has.
   */
  buffer: 'sized' | 'zone'
  division: Division
  /** Whether tasks are checkpointed at a zone withdrawal and the zone returns in steps. */
  isGradual: boolean
  /** Factor of the failure rates; 1 when absent, 0 for no failures. */
  failureFactor?: number
}

/** Measured values of one run, and their theoretical bounds. */
export interface RunResult {
  /** Mean number of idle hosts that the pools keep, as host-hours per day. */
  spareHostHoursPerDay: number
  spareBoundHostHoursPerDay: number
  /** Length of the maintenance round. */
  rolloutMs: number
  /** Hosts maintained at least once. */
  maintainedHosts: number
  /** Changes of pool by a host. */
  moves: number
  /** Mean fraction of a pool's slots that serves the wrong team while demand exceeds the slots. */
  shareDistance: number
  shareDistanceBound: number
  /** Work done from the zone withdrawal until shortly after the return, less the work lost. */
  workHostHours: number
  workBoundHostHours: number
  violations: Violations
  /** Times that a team was above its limit, counted once per team and step. */
  limitViolations: number
  /**
   * Times that a budget was short while hosts were failed, counted once per pool and step. Such a
   * shortage is not counted as a violation.
   */
  exposedPoolSteps: number
}
