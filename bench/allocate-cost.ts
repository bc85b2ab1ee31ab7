import { allocate, type Demand } from '../packages/team-share/src/index.js'

/** Measures the mean milliseconds of `allocate` when every entry host reports every team. */
export function measureAllocateCost(
  rounds = 200,
  { hosts = 9, teams = 420 }: { hosts?: number; teams?: number } = {},
): number {
  const demand: Demand[] = []
  const shares = new Map<string, number>()
  // The demand is grouped by member, as in createFleetShare, and equal names are one string object.
  const names = Array.from({ length: teams }, (_, i) => `team-${i}`)
  for (let host = 0; host < hosts; host++) {
    const member = `entry-${host}`
    for (const [team, name] of names.entries()) {
      shares.set(name, 1 + (team % 9))
      const waiting = (team * 7 + host * 3) % 5
      demand.push({ member, team: name, running: 1, waiting })
    }
  }
  const allocateRepeatedly = (count: number) => {
    for (let i = 0; i < count; i++) allocate({ slots: 64, shares, demand, roundingPeriod: i })
  }
  allocateRepeatedly(50)
  const startedAt = performance.now()
  allocateRepeatedly(rounds)
  return (performance.now() - startedAt) / rounds
}
