import type { DispatcherTiming } from '@bulrushbridge/dispatcher'
import type { HostSettings } from '@bulrushbridge/platform'

/**
 * Lease that each hold request gives a runner, in milliseconds. It outlasts a change of the
 * dispatcher even when the last renewal is as old as one hold request. The change takes the
 * lifetime of the dispatcher's lease plus about half a second.
 */
const runnerLeaseMs = 6_000

/**
 * How long a hold request waits for a run to end, in milliseconds; each renewal is at most as old.
 */
const holdWaitMs = 1_200

/**
 * How long a dispatcher that could not renew its own lease goes on renewing those of runners, in
 * milliseconds. Together with the lifetimes of both leases, this covers a store outage of 9 s.
 */
const maxRenewalWithoutLeaseMs = 5_000

/** Creates the dispatcher's timing from the settings of a host. */
export function dispatcherTiming(cfg: HostSettings, dispatcherLeaseMs: number): DispatcherTiming {
  return {
    dispatcherLeaseMs,
    runnerLeaseMs: Math.min(runnerLeaseMs, cfg.maxRunnerLeaseMs),
    maxRunnerLeaseMs: cfg.maxRunnerLeaseMs,
    pollWaitMs: holdWaitMs,
    suspendedMs: maxRenewalWithoutLeaseMs,
    machineOrderGapMs: cfg.machineLeaseMs,
    moveMs: cfg.moveMs,
    upkeepMs: cfg.upkeepMs,
    statusKeptMs: cfg.statusRetentionMs,
  }
}
