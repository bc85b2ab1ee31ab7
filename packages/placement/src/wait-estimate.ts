import type { WorkResources } from '@bulrushbridge/host'
import type { QueuedJob } from '@bulrushbridge/jobs'
import { dominantShare } from '@bulrushbridge/team-share'
import { sumOf, toResources } from './amounts.js'

/** What the waits are estimated from. */
export interface WaitState {
  /** Jobs that wait; only the first ones of each queue are known, so a wait is a lower bound. */
  jobs: readonly QueuedJob[]
  /** Teams with running tasks. */
  running: Iterable<string>
  shares: ReadonlyMap<string, number>
  capacity: WorkResources
  sizeOf(job: QueuedJob): WorkResources
  /** Learned run time of a kind, in milliseconds. */
  runMsOf(kind: string): number | undefined
}

/**
 * Expected wait of a further job of each team with waiting jobs, in milliseconds: the work that
 * waits before it, divided by the team's part of the pool. Run times are learned ones; the guess of
 * the submitter counts only while none is known.
 *
 * @example
 * const waits = estimateWaits({ jobs, running, shares, capacity, sizeOf, runMsOf })
 */
export function estimateWaits(state: WaitState): Map<string, number> {
  const capacity = toResources(state.capacity)
  const work = new Map<string, number>()
  for (const job of state.jobs) {
    const part = dominantShare(toResources(sumOf([state.sizeOf(job)])), capacity)
    const runMs = state.runMsOf(job.kind) ?? job.request.runMs
    work.set(job.team, (work.get(job.team) ?? 0) + part * runMs)
  }
  const share = (team: string) => state.shares.get(team) ?? 1
  const teams = new Set([...state.running, ...work.keys()])
  const total = [...teams].reduce((sum, team) => sum + share(team), 0)
  return new Map([...work].map(([team, ms]) => [team, Math.round((ms * total) / share(team))]))
}
