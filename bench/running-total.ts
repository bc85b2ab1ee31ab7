import type { RunnerStandin } from '@bulrushbridge/standins'

/** Slot usage of all runners of a testbed together, updated at every start and end of a request. */
export interface RunnerUsage {
  /** Largest number of a team's requests that ran at the same time, including the warm-up. */
  maxRunning(team: string): number
  /** Slot time used since the last reset by team, in milliseconds. */
  slotMs(): Map<string, number>
  /** Wall-clock time of the latest start for which `matches` returns true; 0 if there is none. */
  lastStartAt(matches: (team: string, runner: string) => boolean): number
  /** Sets the slot times to 0. */
  reset(): void
}

interface TeamUsage {
  /** Requests that run now. */
  running: number
  maxRunning: number
  slotMs: number
  /** Monotonic time up to which `slotMs` is counted. */
  changedAt: number
}

/**
 * Tracks the slot usage of runners by replacing the counts in their `stats`. Sampling by a timer
 * would miss peaks between two samples.
 *
 * @example
 * const usage = followRunners(bed.runners)
 */
export function trackRunnerUsage(runners: RunnerStandin[]): RunnerUsage {
  const usageByTeam = new Map<string, TeamUsage>()
  const lastStarts = new Map<string, number>()
  const addElapsed = (usage: TeamUsage) => {
    const now = performance.now()
    usage.slotMs += usage.running * (now - usage.changedAt)
    usage.changedAt = now
  }
  const changeRunning = (team: string, delta: number) => {
    let usage = usageByTeam.get(team)
    if (usage === undefined) {
      usage = { running: 0, maxRunning: 0, slotMs: 0, changedAt: performance.now() }
      usageByTeam.set(team, usage)
    }
    addElapsed(usage)
    usage.running += delta
    usage.maxRunning = Math.max(usage.maxRunning, usage.running)
  }
  for (const { stats } of runners) {
    stats.running = new Proxy<Record<string, number>>(
      {},
      {
        set: (counts, team: string, value: number) => {
          const delta = value - (counts[team] ?? 0)
          counts[team] = value
          changeRunning(team, delta)
          if (delta > 0) lastStarts.set(`${team} ${stats.id}`, Date.now())
          return true
        },
      },
    )
  }
  return {
    maxRunning: team => usageByTeam.get(team)?.maxRunning ?? 0,
    slotMs: () => {
      for (const usage of usageByTeam.values()) addElapsed(usage)
      return new Map([...usageByTeam].map(([team, { slotMs }]) => [team, slotMs]))
    },
    lastStartAt: matches => {
      const matchingStarts = [...lastStarts].filter(([key]) => {
        const [team = '', runner = ''] = key.split(' ')
        return matches(team, runner)
      })
      return Math.max(0, ...matchingStarts.map(([, startedAt]) => startedAt))
    },
    reset: () => {
      for (const usage of usageByTeam.values()) {
        addElapsed(usage)
        usage.slotMs = 0
      }
    },
  }
}
