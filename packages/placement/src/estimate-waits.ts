import type { ResourceAmounts } from '@bulrushbridge/host'
import type { QueuedJob } from '@bulrushbridge/jobs'
import { dominantShare } from '@bulrushbridge/team-share'
import { sumResources, toShareResources } from './work-resources.js'

/** Input of {@link estimateWaits}. */
export interface WaitEstimateInput {
  /** The first waiting jobs of each queue; more may wait, so an estimate is a lower bound. */
  jobs: readonly QueuedJob[]
  /** Teams with running tasks. */
  runningTeams: Iterable<string>
  shares: ReadonlyMap<string, number>
  capacity: ResourceAmounts
  sizeOf(job: QueuedJob): ResourceAmounts
  /** Learned run time of a job kind, in milliseconds; undefined while it is not known. */
  runMsOf(kind: string): number | undefined
}

/**
 * Estimates how long a further job of each team with waiting jobs would wait, in milliseconds: the
 * work that waits before it, divided by the team's fraction of the pool. The run time declared by
 * the submitter counts only while no learned run time is known.
 *
 * @example
 * const waits = estimateWaits({ jobs, runningTeams, shares, capacity, sizeOf, runMsOf })
 */
export function estimateWaits(input: WaitEstimateInput): Map<string, number> {
  const capacity = toShareResources(input.capacity)
  const workMsByTeam = new Map<string, number>()
  for (const job of input.jobs) {
    const poolFraction = dominantShare(
      toShareResources(sumResources([input.sizeOf(job)])),
      capacity,
    )
    const runMs = input.runMsOf(job.kind) ?? job.request.runMs
    workMsByTeam.set(job.team, (workMsByTeam.get(job.team) ?? 0) + poolFraction * runMs)
  }
  const shareOf = (team: string) => input.shares.get(team) ?? 1
  const teams = new Set([...input.runningTeams, ...workMsByTeam.keys()])
  const totalShares = [...teams].reduce((sum, team) => sum + shareOf(team), 0)
  return new Map(
    [...workMsByTeam].map(([team, ms]) => [team, Math.round((ms * totalShares) / shareOf(team))]),
  )
}
