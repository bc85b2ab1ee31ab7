import { allocate, type Demand } from '../packages/team-share/src/index.js'

/** Mean time of `allocate` when every entry host reports every team, in milliseconds. */
export function measureAllocate(
  rounds = 200,
  { hosts = 9, teams = 420 }: { hosts?: number; teams?: number } = {},
): number {
  const demand: Demand[] = []
  const shares = new Map<string, number>()
  // Reports arrive one member at a time, with names made the same objects by createFleetShare.
  const names = Array.from({ length: teams }, (_, i) => `team-${i}`)
  for (let host = 0; host < hosts; host++) {
    const member = `entry-${host}`
    for (const [team, name] of names.entries()) {
      shares.set(name, 1 + (team % 9))
      const waiting = (team * 7 + host * 3) % 5
      demand.push({ member, team: name, running: 1, waiting })
    }
  }
  const run = (count: number) => {
    for (let i = 0; i < count; i++) allocate({ slots: 64, shares, demand, roundingPeriod: i })
  }
  run(50)
  const begin = performance.now()
  run(rounds)
  return (performance.now() - begin) / rounds
}
