import type { DispatcherTiming } from '@bulrushbridge/dispatcher'
import type { HostSettings } from '@bulrushbridge/platform'

/**
 * Lease that runners get at each look, in milliseconds. It outlives the change of the dispatcher,
 * which takes the lifetime of its lease and about half a second, after a renewal of a look's age.
 */
const runnerLeaseMs = 6_000

/** How long a look waits for an end, in milliseconds: each renewal is at most that old. */
const lookWaitMs = 1_200

/**
 * How long runners' leases are renewed without an own lease, in milliseconds. With the lifetimes of
 * both leases it covers an outage of the store of 9 s.
 */
const suspendedMs = 5_000

/** Times of the dispatcher for the settings of a host. */
export function dispatcherTiming(cfg: HostSettings, dutyLeaseMs: number): DispatcherTiming {
  return {
    dutyLeaseMs,
    leaseMs: Math.min(runnerLeaseMs, cfg.maxLeaseMs),
    lookWaitMs,
    suspendedMs,
    machineLeaseMs: cfg.machineLeaseMs,
    upkeepMs: cfg.upkeepMs,
    statusKeptMs: cfg.statusKeptMs,
  }
}
