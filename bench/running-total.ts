import type { RunnerStandin } from '@bulrushbridge/standins'

/** What the runners of a testbed run together, followed at every start and end. */
export interface RunningTotal {
  /** Most requests of a team that ran at the same instant, warm-up included. */
  most(team: string): number
  /** Time on slots since the last reset, in milliseconds, by team. */
  slotMs(): Map<string, number>
  /** Wall-clock time of the newest start for which `accepts` holds. */
  lastStart(accepts: (team: string, runner: string) => boolean): number
  reset(): void
}

interface TeamTotal {
  now: number
  most: number
  slotMs: number
  changedAt: number
}

/**
 * Follows the runners' own counts. A sampling timer would miss peaks between two samples.
 *
 * @example
 * const total = followRunners(bed.runners)
 */
export function followRunners(runners: RunnerStandin[]): RunningTotal {
  const totals = new Map<string, TeamTotal>()
  const starts = new Map<string, number>()
  const settle = (total: TeamTotal) => {
    const now = performance.now()
    total.slotMs += total.now * (now - total.changedAt)
    total.changedAt = now
  }
  const change = (team: string, by: number) => {
    let total = totals.get(team)
    if (total === undefined) {
      total = { now: 0, most: 0, slotMs: 0, changedAt: performance.now() }
      totals.set(team, total)
    }
    settle(total)
    total.now += by
    total.most = Math.max(total.most, total.now)
  }
  for (const { stats } of runners) {
    stats.running = new Proxy<Record<string, number>>(
      {},
      {
        set: (counts, team: string, value: number) => {
          const by = value - (counts[team] ?? 0)
          counts[team] = value
          change(team, by)
          if (by > 0) starts.set(`${team} ${stats.id}`, Date.now())
          return true
        },
      },
    )
  }
  return {
    most: team => totals.get(team)?.most ?? 0,
    slotMs: () => {
      for (const total of totals.values()) settle(total)
      return new Map([...totals].map(([team, { slotMs }]) => [team, slotMs]))
    },
    lastStart: accepts => {
      const accepted = [...starts].filter(([key]) => {
        const [team = '', runner = ''] = key.split(' ')
        return accepts(team, runner)
      })
      return Math.max(0, ...accepted.map(([, at]) => at))
    },
    reset: () => {
      for (const total of totals.values()) {
        settle(total)
        total.slotMs = 0
      }
    },
  }
}
